#include "faultproxy.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <array>

namespace laburnummill::testing {

namespace {

using framework::Milliseconds;

constexpr auto s_pieceBytes = std::size_t{16 * 1024};

/// Longer than a host waits for its store at one go.
constexpr auto s_slowPause = Milliseconds(300);

/// A held path looks again this often, should it miss a change.
constexpr auto s_heldPause = Milliseconds(1'000);

auto resetSocket(asio::ip::tcp::socket& socket) -> void
{
    auto ignored = boost::system::error_code();
    socket.set_option(asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

} // namespace

ConnectionProxy::ConnectionProxy(asio::io_context& context, const asio::ip::tcp::endpoint& listen, const asio::ip::tcp::endpoint& target)
    : m_context(context)
    , m_acceptor(context, listen)
    , m_target(target)
    , m_changed(context.get_executor())
{
    asio::co_spawn(m_context, accept(), asio::detached);
}

auto ConnectionProxy::address() const -> std::string
{
    const auto endpoint = m_acceptor.local_endpoint();
    return endpoint.address().to_string() + ':' + std::to_string(endpoint.port());
}

auto ConnectionProxy::setState(PathState state) -> void
{
    m_state = state;
    if (state == PathState::Refused) {
        reset();
    }
    m_changed.notify();
}

auto ConnectionProxy::reset() -> void
{
    const auto open = std::exchange(m_pairs, {});
    for (const auto& pair : open) {
        resetSocket(pair->caller);
        resetSocket(pair->target);
    }
}

auto ConnectionProxy::silenceOpen() -> void
{
    for (const auto& pair : m_pairs) {
        pair->isDead = true;
    }
}

auto ConnectionProxy::accept() -> asio::awaitable<void>
{
    while (true) {
        auto caller = co_await m_acceptor.async_accept(asio::use_awaitable);
        if (m_state == PathState::Refused) {
            resetSocket(caller);
            continue;
        }
        auto pair = std::make_shared<Pair>(Pair{.caller = std::move(caller), .target = asio::ip::tcp::socket(m_context)});
        m_pairs.insert(pair);
        asio::co_spawn(m_context, connect(std::move(pair)), asio::detached);
    }
}

auto ConnectionProxy::connect(PairPtr pair) -> asio::awaitable<void>
{
    auto error = boost::system::error_code();
    co_await pair->target.async_connect(m_target, asio::redirect_error(asio::use_awaitable, error));
    if (error) {
        resetSocket(pair->caller);
        m_pairs.erase(pair);
        co_return;
    }
    pair->caller.set_option(asio::ip::tcp::no_delay(true), error);
    pair->target.set_option(asio::ip::tcp::no_delay(true), error);
    asio::co_spawn(m_context, pump(pair, false), asio::detached);
    asio::co_spawn(m_context, pump(pair, true), asio::detached);
}

auto ConnectionProxy::isHeld(const Pair& pair, bool isBack) const -> bool
{
    return pair.isDead || m_state == PathState::Silent || (isBack && m_state == PathState::SilentBack);
}

auto ConnectionProxy::pump(PairPtr pair, bool isBack) -> asio::awaitable<void>
{
    auto& from = isBack ? pair->target : pair->caller;
    auto& to = isBack ? pair->caller : pair->target;
    auto piece = std::array<char, s_pieceBytes>();
    auto error = boost::system::error_code();
    while (true) {
        const auto size = co_await from.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
        if (m_state == PathState::Slow) {
            auto pause = asio::steady_timer(m_context, s_slowPause);
            co_await pause.async_wait(asio::use_awaitable);
        }
        while (isHeld(*pair, isBack) && to.is_open()) {
            co_await m_changed.wait(s_heldPause);
        }
        if (error) {
            break;
        }
        co_await asio::async_write(to, asio::buffer(piece, size), asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            break;
        }
    }
    auto ignored = boost::system::error_code();
    if (error == asio::error::eof) {
        to.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    } else {
        resetSocket(from);
        resetSocket(to);
    }
    if (++pair->pumpsEnded == 2) {
        m_pairs.erase(pair);
    }
}

DatagramProxy::DatagramProxy(asio::io_context& context, const asio::ip::udp::endpoint& listen, const asio::ip::udp::endpoint& target,
                             IsCut isCut)
    : m_socket(context, listen)
    , m_target(target)
    , m_isCut(std::move(isCut))
{
    asio::co_spawn(context, pump(), asio::detached);
}

auto DatagramProxy::pump() -> asio::awaitable<void>
{
    auto datagram = std::make_unique<std::array<char, 64 * 1024>>();
    while (true) {
        auto from = asio::ip::udp::endpoint();
        auto error = boost::system::error_code();
        const auto size =
            co_await m_socket.async_receive_from(asio::buffer(*datagram), from, asio::redirect_error(asio::use_awaitable, error));
        if (error || m_isCut(from.address())) {
            continue; // A host that is gone answers a datagram with an error.
        }
        m_socket.send_to(asio::buffer(*datagram, size), m_target, 0, error);
    }
}

} // namespace laburnummill::testing
