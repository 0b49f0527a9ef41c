#include "standins/callerask.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>

namespace laburnummill::testing {

namespace asio = boost::asio;
namespace http = boost::beast::http;

auto requestText(const Ask& request) -> std::string
{
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nX-Api-Key: {}\r\nContent-Length: {}\r\n",
                            request.method, request.target, request.id, request.key, request.body.size());
    for (const auto& [name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "\r\n" + request.body;
}

auto exchange(asio::ip::tcp::endpoint endpoint, std::string text) -> asio::awaitable<Got>
{
    auto socket = asio::ip::tcp::socket(co_await asio::this_coro::executor);
    auto error = boost::system::error_code();
    co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
    co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    auto buffer = boost::beast::flat_buffer();
    auto parser = http::response_parser<http::string_body>();
    co_await http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    const auto& response = parser.get();
    co_return Got{.status = parser.is_header_done() ? response.result_int() : 0,
                  .body = response.body(),
                  .retryAfter = std::string(response["Retry-After"]),
                  .isWhole = !error};
}

} // namespace laburnummill::testing
