#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <deque>
#include <list>
#include <string>
#include <unordered_map>
#include <vector>

namespace laburnummill::testing {

/// A part of a prompt on the way to an engine.
struct EnginePromptPart
{
    std::string part;
    int tokens = 0;
};

/// One turn on an engine.
struct EngineTurn
{
    std::uint64_t number = 0;
    std::vector<EnginePromptPart> prompt;
    double tokens = 0; ///< to be generated
};

struct EngineSpeed
{
    int slots = 6;
    double prefillTokensPerMs = 76.8;
    double msPerToken = 2.62;
    int cacheTokens = 50'739;
};

/// A model engine on virtual time. It admits turns in order of arrival and generates for all running ones at the same speed. While it
/// reads a prompt it generates nothing. Parts of prompts stay in its cache until the least recently used ones yield.
class BatchingEngine
{
public:
    explicit BatchingEngine(const EngineSpeed& speed)
        : m_speed(speed)
    {}

    /// Returns the number of prompt tokens that it has read by `now` or begins to read now.
    auto add(EngineTurn turn, framework::Instant now) -> int;

    /// Works until `now`; returns the turns that have ended.
    auto advance(framework::Instant now) -> std::vector<std::uint64_t>;

    /// When the next turn ends or begins if no other arrives; the largest value if there is none.
    auto nextChange() const -> framework::Instant;

    /// Changes how long all work takes from `now` on, as a ratio to the usual. advance() must have been called for `now`.
    auto setPace(double pace) -> void { m_pace = pace; }
    auto pace() const -> double { return m_pace; }

    auto running() const -> int { return static_cast<int>(m_running.size()); }
    auto waiting() const -> int { return static_cast<int>(m_waiting.size()); }

private:
    struct Running
    {
        std::uint64_t number = 0;
        double tokensLeft = 0;
    };

    auto admitWaiting() -> int;
    /// Takes the prompt into the cache; returns the number of tokens that it lacked.
    auto read(const std::vector<EnginePromptPart>& prompt) -> int;

    EngineSpeed m_speed;
    double m_pace = 1;
    framework::Instant m_advancedTo{};
    double m_prefillMs = 0; ///< of admitted prompts that are not read yet
    std::vector<Running> m_running;
    std::deque<EngineTurn> m_waiting;
    std::list<EnginePromptPart> m_cache; ///< the most recently used part first
    std::unordered_map<std::string, std::list<EnginePromptPart>::iterator> m_cached;
    int m_cachedTokens = 0;
    int m_readSinceAdd = 0;
};

} // namespace laburnummill::testing
