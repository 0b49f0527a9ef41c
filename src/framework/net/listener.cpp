#include "framework/net/listener.h"

#include "framework/logging/log.h"
#include "framework/net/logpacer.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnummill::framework {

namespace {

constexpr auto s_openRetry = Milliseconds(50);

/// Time for connections to end, and for their descriptors to be free.
constexpr auto s_acceptPause = Milliseconds(50);

constexpr auto s_logInterval = Milliseconds(1'000);

} // namespace

auto addressText(const asio::ip::tcp::endpoint& endpoint) -> std::string
{
    return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Listener::Listener(const asio::any_io_executor& executor, asio::ip::tcp::endpoint endpoint, std::string_view name)
    : m_acceptor(executor)
    , m_endpoint(std::move(endpoint))
    , m_name(name)
{}

Listener::Listener(asio::ip::tcp::acceptor acceptor, std::string_view name)
    : m_acceptor(std::move(acceptor))
    , m_endpoint(m_acceptor.local_endpoint())
    , m_name(name)
{}

auto Listener::tryOpen() -> boost::system::error_code
{
    auto error = boost::system::error_code();
    auto ignored = boost::system::error_code();
    m_acceptor.open(m_endpoint.protocol(), error);
    if (!error) {
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ignored);
        m_acceptor.bind(m_endpoint, error);
    }
    if (!error) {
        m_acceptor.listen(asio::socket_base::max_listen_connections, error);
    }
    if (error) {
        m_acceptor.close(ignored);
    }
    return error;
}

auto Listener::open(std::optional<Milliseconds> timeout) -> Async<boost::system::error_code>
{
    const auto startedAt = std::chrono::steady_clock::now();
    auto timer = asio::steady_timer(m_acceptor.get_executor());
    auto pacer = LogPacer(s_logInterval);
    while (true) {
        const auto error = tryOpen();
        const auto now = std::chrono::steady_clock::now();
        const auto isOver = timeout && now >= startedAt + *timeout;
        if (!error || error != asio::error::address_in_use || isOver) {
            co_return error;
        }
        if (const auto attempts = pacer.take(now)) {
            logEvent(LogLevel::Warning, "framework", "address_in_use",
                     {{"listener", m_name},
                      {"address", addressText(m_endpoint)},
                      {"attempts", attempts},
                      {"waitedMs", std::chrono::duration_cast<Milliseconds>(now - startedAt).count()}});
        }
        timer.expires_after(s_openRetry);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto Listener::accept(Handler handler) -> Async<void>
{
    auto timer = asio::steady_timer(m_acceptor.get_executor());
    auto pacer = LogPacer(s_logInterval);
    while (m_acceptor.is_open()) {
        auto error = boost::system::error_code();
        auto socket = co_await m_acceptor.async_accept(asio::redirect_error(asio::use_awaitable, error));
        if (!error) {
            socket.set_option(asio::ip::tcp::no_delay(true), error);
            handler(std::move(socket));
            continue;
        }
        if (!m_acceptor.is_open()) {
            co_return;
        }
        if (const auto failures = pacer.take(std::chrono::steady_clock::now())) {
            logEvent(LogLevel::Warning, "framework", "accept_failed",
                     {{"listener", m_name}, {"reason", error.message()}, {"failures", failures}});
        }
        timer.expires_after(s_acceptPause);
        co_await timer.async_wait(asio::use_awaitable);
    }
}

auto Listener::close() -> void
{
    auto ignored = boost::system::error_code();
    m_acceptor.close(ignored);
}

} // namespace laburnummill::framework
