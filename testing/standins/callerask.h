#pragma once

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

} // namespace laburnummill::testing
