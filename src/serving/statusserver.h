#pragma once

#include "framework/global/workcount.h"
#include "framework/net/listener.h"

#include <functional>
#include <memory>
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

    /// `name` of the service, in log lines: a literal.
    StatusServer(framework::asio::any_io_executor executor, const framework::asio::ip::tcp::endpoint& address, std::string_view name,
                 Handler handler);

    /// Listens, once the address is free, and serves from then on. Returns the error that prevents it.
    auto open(std::optional<framework::Milliseconds> timeout) -> framework::Async<boost::system::error_code>;
    auto stop() -> void { m_listener.close(); }

    /// Whether it listens.
    auto isOpen() const -> bool { return m_listener.isOpen(); }

private:
    struct Client;

    auto serve(std::shared_ptr<Client> client) -> framework::Async<void>;
    auto respond(Client& client) -> framework::Async<bool>;

    framework::asio::any_io_executor m_executor;
    framework::Listener m_listener;
    std::string_view m_name;
    Handler m_handler;
    framework::WorkCount m_clients;
};

} // namespace laburnummill::serving
