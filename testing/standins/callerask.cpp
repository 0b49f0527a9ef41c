#include "standins/callerask.h"

#include <fmt/format.h>

namespace laburnummill::testing {

auto requestText(const Ask& request) -> std::string
{
    auto text = fmt::format("{} {} HTTP/1.1\r\nHost: h.example\r\nRequest-Id: {}\r\nX-Api-Key: {}\r\nContent-Length: {}\r\n",
                            request.method, request.target, request.id, request.key, request.body.size());
    for (const auto& [name, value] : request.headers) {
        text += name + ": " + value + "\r\n";
    }
    return text + "\r\n" + request.body;
}

} // namespace laburnummill::testing
