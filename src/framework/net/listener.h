#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <optional>
#include <string_view>

namespace laburnummill::framework {

/// IP:PORT.
auto addressText(const asio::ip::tcp::endpoint& endpoint) -> std::string;

/// Listens on an address and accepts connections until it is closed. Survives an address that is held for a while, and a process without
/// free descriptors or memory: it pauses, and logs at most a line a second.
class Listener
{
public:
    using Handler = std::function<void(asio::ip::tcp::socket)>;

    /// `name` of the service, in log lines: a literal.
    Listener(const asio::any_io_executor& executor, asio::ip::tcp::endpoint endpoint, std::string_view name);
    /// With an acceptor that listens already.
    Listener(asio::ip::tcp::acceptor acceptor, std::string_view name);

    /// Listens, once the address is free. Returns the error if another one than a held address prevents it, or if `timeout` is over.
    auto open(std::optional<Milliseconds> timeout) -> Async<boost::system::error_code>;

    /// Passes accepted connections to `handler`, until close().
    auto accept(Handler handler) -> Async<void>;

    auto isOpen() const -> bool { return m_acceptor.is_open(); }
    auto close() -> void;

private:
    auto tryOpen() -> boost::system::error_code;

    asio::ip::tcp::acceptor m_acceptor;
    asio::ip::tcp::endpoint m_endpoint;
    std::string_view m_name;
};

} // namespace laburnummill::framework
