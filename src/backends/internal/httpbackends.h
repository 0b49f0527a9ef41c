#pragma once

#include "backends/ibackends.h"
#include "framework/http/httpclient.h"

namespace laburnummill::backends {

/// Client of back ends over HTTP: engines use the chat-completions API, requests to plain services are sent unchanged.
class HttpBackends final : public IBackends
{
public:
    explicit HttpBackends(framework::asio::any_io_executor executor);

    auto generate(BackendRequest request, IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<BackendOutcome> override;
    auto call(BackendRequest request) -> framework::Async<BackendOutcome> override;
    auto load(const framework::Endpoint& engine) -> framework::AsyncResult<EngineLoad> override;
    auto cacheEvents(const framework::Endpoint& engine, std::uint64_t sequence) -> framework::AsyncResult<std::vector<CacheEvent>> override;
    auto release(const framework::Endpoint& engine, std::string program, std::uint64_t fencing) -> framework::AsyncResult<void> override;
    auto loadModel(const framework::Endpoint& engine, std::string model, std::uint64_t fencing) -> framework::AsyncResult<void> override;

private:
    auto sendCommand(const framework::Endpoint& engine, std::string path, std::string body) -> framework::AsyncResult<void>;

    framework::HttpClient m_client;
};

} // namespace laburnummill::backends
