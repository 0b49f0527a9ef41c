#pragma once

#include "framework/global/async.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <string>

namespace laburnummill::serving {

/// A response of the status server.
struct StatusResponse
{
    unsigned status = 200;
    std::string contentType = "text/plain";
    std::string body;
};

/// A small HTTP server for the status of this host.
class StatusServer
{
public:
    using Handler = std::function<StatusResponse(std::string_view path)>;

    /// Starts to listen; throws boost::system::system_error on failure.
    StatusServer(framework::asio::any_io_executor executor, const framework::asio::ip::tcp::endpoint& address, Handler handler);

    auto start() -> void;
    auto stop() -> void;

private:
    auto acceptLoop() -> framework::Async<void>;
    auto serve(framework::asio::ip::tcp::socket socket) -> framework::Async<void>;

    framework::asio::any_io_executor m_executor;
    framework::asio::ip::tcp::acceptor m_acceptor;
    Handler m_handler;
};

} // namespace laburnummill::serving
