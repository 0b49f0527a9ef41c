#include "serving/statusserver.h"

#include "framework/global/tasks.h"
#include "framework/global/timelimit.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using framework::Async;
using framework::Milliseconds;

/// Clients poll the status and reuse the connection; it is closed after this idle time.
constexpr auto s_idleTimeout = Milliseconds(5'000);

/// Exceeds any request of a prober.
constexpr auto s_bufferLimit = std::size_t{16 * 1024};

/// Probers of a host are few; further connections are closed at once.
constexpr auto s_maxClients = 32;

} // namespace

struct StatusServer::Client : std::enable_shared_from_this<StatusServer::Client>
{
    explicit Client(asio::ip::tcp::socket accepted)
        : socket(std::move(accepted))
    {}

    asio::ip::tcp::socket socket;
    boost::beast::flat_buffer buffer{s_bufferLimit};
};

StatusServer::StatusServer(asio::any_io_executor executor, const asio::ip::tcp::endpoint& address, std::string_view name, Handler handler)
    : m_executor(executor)
    , m_listener(executor, address, name)
    , m_name(name)
    , m_handler(std::move(handler))
{}

auto StatusServer::open(std::optional<Milliseconds> timeout) -> Async<boost::system::error_code>
{
    const auto error = co_await m_listener.open(timeout);
    if (!error) {
        framework::spawnLoop(m_executor, m_name, [this] {
            return m_listener.accept([this](asio::ip::tcp::socket socket) {
                if (m_clients.count() < s_maxClients) {
                    framework::spawnTask(m_executor, m_name, serve(std::make_shared<Client>(std::move(socket))));
                }
            });
        });
    }
    co_return error;
}

auto StatusServer::serve(std::shared_ptr<Client> client) -> Async<void>
{
    const auto open = m_clients.begin();
    while (co_await respond(*client)) {
    }
}

auto StatusServer::respond(Client& client) -> Async<bool>
{
    auto request = http::request<http::empty_body>();
    auto error = boost::system::error_code();
    {
        // The limit's handler may run after the coroutine has ended.
        const auto limit = framework::TimeLimit(m_executor, s_idleTimeout, [weak = client.weak_from_this()] {
            if (const auto found = weak.lock()) {
                auto ignored = boost::system::error_code();
                found->socket.close(ignored);
            }
        });
        co_await http::async_read(client.socket, client.buffer, request, asio::redirect_error(asio::use_awaitable, error));
    }
    if (error) {
        co_return false;
    }
    const auto target = std::string_view(request.target().data(), request.target().size());
    const auto answer = m_handler(target.substr(0, target.find('?')));
    auto response = http::response<http::string_body>(static_cast<http::status>(answer.status), 11);
    response.set(http::field::content_type, answer.contentType);
    response.body() = answer.body;
    response.keep_alive(request.keep_alive());
    response.prepare_payload();
    co_await http::async_write(client.socket, response, asio::redirect_error(asio::use_awaitable, error));
    co_return !error && request.keep_alive();
}

} // namespace laburnummill::serving
