#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <string>
#include <utility>
#include <vector>

namespace laburnummill::testing {

/// A caller's request in short.
struct Ask
{
    std::string target = "/turns/one";
    std::string method = "POST";
    std::string id = "r1";
    std::string key = "good-key";
    std::string body = "hello";
    std::vector<std::pair<std::string, std::string>> headers;
};

/// What a caller got. Status 0: the connection ended without a whole head.
struct Got
{
    unsigned status = 0;
    std::string body; ///< also what came before the connection ended
    std::string retryAfter;
    bool isWhole = false;
};

/// The bytes of a request.
auto requestText(const Ask& request) -> std::string;

/// Sends bytes on a connection of their own and reads one answer.
auto exchange(boost::asio::ip::tcp::endpoint endpoint, std::string text) -> boost::asio::awaitable<Got>;

} // namespace laburnummill::testing
