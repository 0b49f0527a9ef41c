#pragma once

#include "framework/http/httpclient.h"

#include <memory>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// What a load run came to.
struct LoadResult
{
    std::vector<double> milliseconds; ///< of each answered request, in order of their lengths
    std::size_t failures = 0;

    auto quantile(double share) const -> double;
};

/// Sends `requests` requests over `concurrency` tasks, one after another in each, and waits for all.
auto runLoad(const framework::Endpoint& endpoint, const framework::HttpRequest& request, std::size_t concurrency, std::size_t requests)
    -> LoadResult;

/// Streams that stay open: each has received its first piece and is read no further.
class OpenStreams
{
public:
    OpenStreams(framework::Endpoint endpoint, framework::HttpRequest request);
    ~OpenStreams();

    OpenStreams(const OpenStreams&) = delete;
    auto operator=(const OpenStreams&) -> OpenStreams& = delete;

    /// Opens streams until there are `count`; yields how many there are.
    auto growTo(std::size_t count) -> std::size_t;

private:
    auto openOne() -> framework::Async<void>;

    framework::Endpoint m_endpoint;
    framework::HttpRequest m_request;
    framework::asio::io_context m_context;
    framework::HttpClient m_client;
    std::vector<std::shared_ptr<framework::IHttpExchange>> m_open;
};

} // namespace laburnummill::testing
