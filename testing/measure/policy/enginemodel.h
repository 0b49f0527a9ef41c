#pragma once

#include "scheduling/internal/dispatchertypes.h"

#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnummill::testing {

/// Speeds and sizes of the modelled engine.
struct EngineModelSettings
{
    double stepMs = 22;              ///< of a batch of one
    double stepMsPerRequest = 0.8;   ///< each further request in the batch
    double stepMsPerKiloToken = 0.1; ///< each thousand tokens of context in the batch
    double prefillMsPerToken = 0.1;
    std::uint64_t prefillChunk = 2'048; ///< prompt tokens computed in one step at most
    std::uint64_t cacheTokens = 200'000;
};

/// What an engine is asked for.
struct ModelRequest
{
    scheduling::PermitKey key;
    std::string program;
    std::uint64_t promptTokens = 0;
    std::uint64_t completionTokens = 0;
};

struct ModelAnswer
{
    ModelRequest request;
    std::uint64_t cachedTokens = 0;
};

/// A model engine on virtual time: batches continuously, one step a token; a step is slower with more requests, more context
/// and prompts under way. Keeps programs' prefixes in limited memory and drops the least recently used.
class EngineModel
{
public:
    explicit EngineModel(EngineModelSettings settings)
        : m_settings(settings)
    {}

    auto admit(ModelRequest request) -> void;

    /// Runs one step. Yields its length; zero where nothing runs.
    auto step() -> framework::Microseconds;

    /// Answers that the last step completed.
    auto takeAnswers() -> std::vector<ModelAnswer>;

    /// Programs dropped from the cache since the last call.
    auto takeEvictions() -> std::vector<std::string>;

    /// Drops what is held for a program that is gone.
    auto release(const std::string& program) -> void;

    /// Ends everything and forgets all. Yields what ran.
    auto restart() -> std::vector<scheduling::PermitKey>;

    auto running() const -> std::size_t { return m_running.size(); }
    auto life() const -> std::uint64_t { return m_life; }
    auto busyMs() const -> double { return m_busyMs; }

private:
    struct Running
    {
        ModelRequest request;
        std::uint64_t cached = 0;
        std::uint64_t prefillLeft = 0;
        std::uint64_t decodeLeft = 0;
    };
    struct Prefix
    {
        std::uint64_t tokens = 0;
        std::uint32_t users = 0;
        std::list<std::string>::iterator recent;
    };

    auto use(const std::string& program, std::uint64_t tokens, int users) -> void;
    auto evict() -> void;
    auto prefill() -> std::uint64_t;
    auto complete() -> void;

    EngineModelSettings m_settings;
    std::vector<Running> m_running;
    std::vector<ModelAnswer> m_answers;
    std::vector<std::string> m_evictions;
    std::unordered_map<std::string, Prefix> m_cache;
    std::list<std::string> m_recent; ///< least recently used first
    std::uint64_t m_cached = 0;
    std::uint64_t m_life = 1;
    double m_busyMs = 0;
};

} // namespace laburnummill::testing
