#pragma once

#include "framework/global/async.h"
#include "framework/http/httperrors.h"
#include "framework/http/httptypes.h"

#include <memory>
#include <optional>
#include <string>

namespace laburnummill::framework {

/// One request and its answer on a connection of its own.
class IHttpExchange
{
public:
    virtual ~IHttpExchange() = default;

    virtual auto status() const -> unsigned = 0;
    virtual auto headers() const -> const Headers& = 0;

    /// The next piece of the body; nothing at its end. Truncated where it breaks off.
    virtual auto read() -> AsyncResult<std::optional<std::string>> = 0;

    /// The rest of the body, at most `limit` bytes.
    virtual auto readAll(std::size_t limit) -> AsyncResult<std::string> = 0;

    /// Closes the connection at once; what is being read fails. Safe to call from any task of the executor.
    virtual auto cancel() -> void = 0;

    /// Declares the connection unfit for another request, e.g. after an answer that was not ours.
    virtual auto distrust() -> void = 0;
};

/// Sends HTTP/1.1 requests over kept connections, one request at a time on each.
class HttpClient
{
public:
    explicit HttpClient(asio::any_io_executor executor, std::size_t idlePerEndpoint = 32);
    ~HttpClient();

    HttpClient(const HttpClient&) = delete;
    auto operator=(const HttpClient&) -> HttpClient& = delete;

    /// Sends `request` and reads the head of the answer. ConnectFailed means that no byte of it left.
    auto open(const Endpoint& endpoint, const HttpRequest& request, HttpClientTimeouts timeouts = {})
        -> AsyncResult<std::shared_ptr<IHttpExchange>>;

    /// Sends `request` and reads the whole answer, at most `limit` bytes.
    auto fetch(const Endpoint& endpoint, const HttpRequest& request, HttpClientTimeouts timeouts = {}, std::size_t limit = 16 * 1024 * 1024)
        -> AsyncResult<HttpResponse>;

private:
    struct Pool;

    std::shared_ptr<Pool> m_pool;
};

} // namespace laburnummill::framework
