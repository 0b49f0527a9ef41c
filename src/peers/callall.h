#pragma once

#include "peers/ipeers.h"

#include <functional>

namespace laburnummill::peers {

/// What came of asking several hosts at once.
struct CallResults
{
    std::vector<messages::Response> responses;
    int failed = 0; ///< hosts that did not answer
};

/// Asks all `addresses` at once and waits for every answer, or until one `isEnough`.
auto callAll(IPeers& peers, std::vector<std::string> addresses, messages::Request request, framework::Milliseconds timeout,
             std::function<bool(const messages::Response&)> isEnough) -> framework::Async<CallResults>;

} // namespace laburnummill::peers
