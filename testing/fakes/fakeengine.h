#pragma once

#include "framework/http/ihttphandler.h"
#include "testing/fakes/faultplan.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// A stand-in for a model engine: streams words in the chat-completions dialect, holds caches, takes orders.
class FakeEngine final : public framework::IHttpHandler
{
public:
    /// Pause between two tokens of a stream.
    explicit FakeEngine(framework::Milliseconds tokenInterval);

    auto handle(const framework::HttpRequest& request, framework::IHttpResponder& responder) -> framework::Async<void> override;
    auto rejection(std::error_code error) -> framework::HttpResponse override;

    auto faults() -> FaultPlan& { return m_faults; }

    /// Everything received so far, headers included: a test looks for what must not be there.
    auto received() const -> const std::vector<std::string>& { return m_received; }

private:
    auto generate(const framework::HttpRequest& request, framework::IHttpResponder& responder) -> framework::Async<void>;
    auto streamWords(const std::string& id, const std::vector<std::string>& words, std::uint64_t promptTokens, std::uint64_t cachedTokens,
                     framework::IHttpResponder& responder) -> framework::Async<void>;
    auto takeOrder(const framework::HttpRequest& request) -> framework::HttpResponse;
    auto loadReport() const -> framework::Json;
    auto cacheEvents(std::uint64_t after) const -> framework::Json;
    auto crash() -> void;
    auto hold(const std::string& program, std::uint64_t tokens) -> void;

    framework::Milliseconds m_tokenInterval;
    FaultPlan m_faults;
    std::string m_startId;
    std::uint32_t m_running = 0;
    std::uint32_t m_mostAtOnce = 0; ///< over all lives; read over `GET /counts`
    std::uint64_t m_fencing = 0;
    std::uint64_t m_generation = 1;
    std::set<std::string> m_models;
    std::map<std::string, std::uint64_t> m_held;
    std::vector<framework::Json> m_events;
    std::vector<std::string> m_received;
};

} // namespace laburnummill::testing
