#include "gateway/requestparsing.h"

#include <cstddef>
#include <cstdint>
#include <string>

/// The input: method, path and body, separated by line feeds.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int // NOLINT(readability-identifier-naming)
{
    const auto text = std::string(reinterpret_cast<const char*>(data), size);
    const auto first = text.find('\n');
    const auto second = first == std::string::npos ? first : text.find('\n', first + 1);
    auto request = laburnummill::framework::HttpRequest();
    request.method = text.substr(0, first);
    if (first != std::string::npos) {
        request.path = text.substr(first + 1, second == std::string::npos ? second : second - first - 1);
    }
    if (second != std::string::npos) {
        request.body = text.substr(second + 1);
        request.headers["Authorization"] = request.body;
        request.headers["X-Timeout-Ms"] = request.path;
    }
    (void)laburnummill::gateway::parseCallerRequest(request);
    (void)laburnummill::gateway::presentedKey(request);
    (void)laburnummill::gateway::requestedTimeout(request);
    return 0;
}
