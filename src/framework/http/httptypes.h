#pragma once

#include "framework/global/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace laburnummill::framework {

/// Orders header names without regard to case.
struct HeaderLess
{
    using is_transparent = void; // NOLINT(readability-identifier-naming)

    auto operator()(std::string_view left, std::string_view right) const -> bool;
};

using Headers = std::map<std::string, std::string, HeaderLess>;

/// The value of header `name`, or an empty text.
auto headerValue(const Headers& headers, std::string_view name) -> std::string_view;

struct HttpRequest
{
    std::string method;
    std::string path;  ///< without the query
    std::string query; ///< without the question mark
    Headers headers;
    std::string body;
};

struct HttpResponse
{
    unsigned status = 200;
    Headers headers;
    std::string body;
};

/// An IP number and a port.
struct Endpoint
{
    std::string host;
    std::uint16_t port = 0;

    /// "host:port"
    auto text() const -> std::string { return host + ":" + std::to_string(port); }

    /// The endpoint written as "host:port"; port 0 where it cannot be read.
    static auto parse(std::string_view text) -> Endpoint;

    auto operator<=>(const Endpoint&) const = default;
};

struct HttpServerLimits
{
    std::size_t headerBytes = 16 * 1024;
    std::size_t bodyBytes = 8 * 1024 * 1024;
    std::size_t connections = 10'000;
    Milliseconds idleTimeout{75'000};
    Milliseconds receiveTimeout{15'000}; ///< for a whole request, once begun
    Milliseconds sendTimeout{15'000};    ///< for each write
};

struct HttpClientTimeouts
{
    Milliseconds connect{1'000};
    Milliseconds firstByte{60'000};
    Milliseconds betweenReads{30'000};
};

} // namespace laburnummill::framework
