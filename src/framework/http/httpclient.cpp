#include "framework/http/httpclient.h"

#include "framework/http/responsereading.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <array>
#include <deque>
#include <map>

namespace laburnummill::framework {

namespace beast = boost::beast;
namespace http = beast::http;

namespace {

using Connection = std::unique_ptr<beast::tcp_stream>;

constexpr auto s_readBytes = std::size_t{16 * 1024};
constexpr auto s_maxHeadBytes = std::size_t{64 * 1024};

/// Informational responses that may precede an answer.
constexpr auto s_maxInformational = 3;

auto isQuiet(beast::tcp_stream& stream) -> bool
{
    auto byte = char{0};
    const auto received = ::recv(stream.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return received < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

auto toMessage(const Endpoint& endpoint, const HttpRequest& request) -> http::request<http::string_body>
{
    const auto target = request.query.empty() ? request.path : request.path + "?" + request.query;
    auto message = http::request<http::string_body>();
    message.version(11);
    message.method_string(request.method);
    message.target(target);
    message.set(http::field::host, endpoint.text());
    for (const auto& [name, value] : request.headers) {
        message.set(name, value);
    }
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

} // namespace

struct HttpClient::Pool
{
    Pool(asio::any_io_executor usedExecutor, std::size_t usedLimit)
        : executor(std::move(usedExecutor))
        , idlePerEndpoint(usedLimit)
    {}

    auto take(const Endpoint& endpoint) -> Connection
    {
        auto& kept = idle[endpoint];
        while (!kept.empty()) {
            auto connection = std::move(kept.back());
            kept.pop_back();
            // NOTE A kept connection that has bytes or an end waiting was closed or answers something we never asked.
            if (isQuiet(*connection)) {
                return connection;
            }
        }
        return nullptr;
    }

    auto give(const Endpoint& endpoint, Connection connection) -> void
    {
        auto& kept = idle[endpoint];
        if (kept.size() < idlePerEndpoint) {
            kept.push_back(std::move(connection));
        }
    }

    asio::any_io_executor executor;
    std::size_t idlePerEndpoint;
    std::map<Endpoint, std::deque<Connection>> idle;
};

namespace {

/// An exchange that gives its connection back to the pool once the answer was read to its end.
template<class Pool>
class PooledExchange final : public IHttpExchange
{
public:
    PooledExchange(std::shared_ptr<Pool> pool, Endpoint endpoint, Connection connection, HttpClientTimeouts timeouts)
        : m_pool(std::move(pool))
        , m_endpoint(std::move(endpoint))
        , m_connection(std::move(connection))
        , m_timeouts(timeouts)
    {}

    auto send(const http::request<http::string_body>& message) -> AsyncResult<void>
    {
        auto error = boost::system::error_code();
        m_connection->expires_after(m_timeouts.firstByte);
        co_await http::async_write(*m_connection, message, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return failure(error);
        }
        co_return co_await readHead();
    }

    auto status() const -> unsigned override { return m_head->status(); }
    auto headers() const -> const Headers& override { return m_headers; }

    auto read() -> AsyncResult<std::optional<std::string>> override
    {
        while (!m_parser->is_done()) {
            if (!m_connection) {
                co_return HttpError::ConnectionLost;
            }
            auto piece = std::string(s_readBytes, '\0');
            m_parser->get().body().data = piece.data();
            m_parser->get().body().size = piece.size();
            auto error = boost::system::error_code();
            m_connection->expires_after(m_timeouts.betweenReads);
            co_await http::async_read_some(*m_connection, m_buffer, *m_parser, asio::redirect_error(asio::use_awaitable, error));
            if (error && error != http::error::need_buffer) {
                co_return failure(error);
            }
            piece.resize(piece.size() - m_parser->get().body().size);
            if (!piece.empty()) {
                co_return piece;
            }
        }
        recycle();
        co_return std::nullopt;
    }

    auto readAll(std::size_t limit) -> AsyncResult<std::string> override
    {
        auto body = std::string();
        while (true) {
            BOOST_OUTCOME_CO_TRY(auto piece, co_await read());
            if (!piece) {
                co_return body;
            }
            body += *piece;
            if (body.size() > limit) {
                m_trusted = false;
                co_return HttpError::BodyTooLarge;
            }
        }
    }

    auto cancel() -> void override
    {
        m_trusted = false;
        if (m_connection) {
            m_connection->close();
        }
    }

    auto distrust() -> void override { m_trusted = false; }

private:
    auto failure(const boost::system::error_code& error) -> std::error_code
    {
        m_trusted = false;
        if (error == beast::error::timeout) {
            return HttpError::TimedOut;
        }
        return m_head ? HttpError::Truncated : HttpError::ConnectionLost;
    }

    /// Reads the header of the answer; informational ones are skipped.
    auto readHead() -> AsyncResult<void>
    {
        for (auto skipped = 0; skipped <= s_maxInformational; ++skipped) {
            m_parser.emplace();
            m_parser->body_limit(boost::none);
            auto reading = co_await readResponseHead(*m_connection, m_buffer, *m_parser, s_maxHeadBytes);
            if (!reading.head) {
                co_return failure(reading.error ? reading.error : make_error_code(http::error::bad_value));
            }
            if (!reading.head->isInformational()) {
                m_head = std::move(reading.head);
                break;
            }
        }
        if (!m_head) {
            m_trusted = false;
            co_return HttpError::ConnectionLost;
        }
        for (const auto& field : m_head->header()) {
            m_headers.emplace(std::string(field.name_string()), std::string(field.value()));
        }
        co_return success();
    }

    auto recycle() -> void
    {
        if (m_connection && m_trusted && m_parser->keep_alive() && m_buffer.size() == 0) {
            m_connection->expires_never();
            m_pool->give(m_endpoint, std::move(m_connection));
        }
    }

    std::shared_ptr<Pool> m_pool;
    Endpoint m_endpoint;
    Connection m_connection;
    HttpClientTimeouts m_timeouts;
    beast::flat_buffer m_buffer;
    std::optional<http::response_parser<http::buffer_body>> m_parser;
    std::optional<ResponseHead> m_head;
    Headers m_headers;
    bool m_trusted = true;
};

auto connect(const asio::any_io_executor& executor, const Endpoint& endpoint, Milliseconds timeout) -> AsyncResult<Connection>
{
    auto error = boost::system::error_code();
    const auto address = asio::ip::make_address(endpoint.host, error);
    if (error) {
        co_return HttpError::ConnectFailed;
    }
    auto connection = std::make_unique<beast::tcp_stream>(executor);
    connection->expires_after(timeout);
    co_await connection->async_connect(asio::ip::tcp::endpoint(address, endpoint.port), asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        co_return HttpError::ConnectFailed;
    }
    connection->socket().set_option(asio::ip::tcp::no_delay(true), error);
    co_return connection;
}

} // namespace

HttpClient::HttpClient(asio::any_io_executor executor, std::size_t idlePerEndpoint)
    : m_pool(std::make_shared<Pool>(std::move(executor), idlePerEndpoint))
{}

HttpClient::~HttpClient() = default;

auto HttpClient::open(const Endpoint& endpoint, const HttpRequest& request, HttpClientTimeouts timeouts)
    -> AsyncResult<std::shared_ptr<IHttpExchange>>
{
    const auto pool = m_pool;
    auto connection = pool->take(endpoint);
    if (!connection) {
        BOOST_OUTCOME_CO_TRY(connection, co_await connect(pool->executor, endpoint, timeouts.connect));
    }
    const auto message = toMessage(endpoint, request);
    auto exchange = std::make_shared<PooledExchange<Pool>>(pool, endpoint, std::move(connection), timeouts);
    BOOST_OUTCOME_CO_TRYV(co_await exchange->send(message));
    co_return exchange;
}

auto HttpClient::fetch(const Endpoint& endpoint, const HttpRequest& request, HttpClientTimeouts timeouts, std::size_t limit)
    -> AsyncResult<HttpResponse>
{
    BOOST_OUTCOME_CO_TRY(auto exchange, co_await open(endpoint, request, timeouts));
    auto response = HttpResponse{exchange->status(), exchange->headers(), {}};
    BOOST_OUTCOME_CO_TRY(response.body, co_await exchange->readAll(limit));
    co_return response;
}

} // namespace laburnummill::framework
