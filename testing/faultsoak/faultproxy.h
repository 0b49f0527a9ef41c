#pragma once

#include "framework/global/signal.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <functional>
#include <memory>
#include <set>

namespace laburnummill::testing {

namespace asio = boost::asio;

/// What a path on loopback does with what goes over it.
enum class PathState
{
    Open,
    Slow,       ///< each piece waits
    Silent,     ///< nothing comes through; what was held goes on later
    SilentBack, ///< only answers are held
    Refused,    ///< new connections are closed, old ones reset
};

/// Passes connections on to one address, as a network with faults does.
class ConnectionProxy
{
public:
    ConnectionProxy(asio::io_context& context, const asio::ip::tcp::endpoint& listen, const asio::ip::tcp::endpoint& target);

    auto address() const -> std::string;
    auto setState(PathState state) -> void;

    /// Resets all open connections.
    auto reset() -> void;

    /// Open connections fall silent for good; new ones work.
    auto silenceOpen() -> void;

private:
    struct Pair
    {
        asio::ip::tcp::socket caller;
        asio::ip::tcp::socket target;
        bool isDead = false;
        int pumpsEnded = 0;
    };
    using PairPtr = std::shared_ptr<Pair>;

    auto accept() -> asio::awaitable<void>;
    auto connect(PairPtr pair) -> asio::awaitable<void>;
    auto pump(PairPtr pair, bool isBack) -> asio::awaitable<void>;
    auto isHeld(const Pair& pair, bool isBack) const -> bool;

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_target;
    PathState m_state = PathState::Open;
    framework::Signal m_changed;
    std::set<PairPtr> m_pairs;
};

/// Passes datagrams on to one address.
class DatagramProxy
{
public:
    /// Whether what comes from an address is dropped now.
    using IsCut = std::function<bool(const asio::ip::address& from)>;

    DatagramProxy(asio::io_context& context, const asio::ip::udp::endpoint& listen, const asio::ip::udp::endpoint& target, IsCut isCut);

private:
    auto pump() -> asio::awaitable<void>;

    asio::ip::udp::socket m_socket;
    asio::ip::udp::endpoint m_target;
    IsCut m_isCut;
};

} // namespace laburnummill::testing
