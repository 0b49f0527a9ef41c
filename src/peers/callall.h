#pragma once

#include "peers/ipeers.h"

#include <functional>

namespace laburnummill::peers {

/// Results of a call to several hosts.
struct CallResults
{
    std::vector<messages::Response> responses;
    int failed = 0; ///< number of hosts without a response
};

/// Calls all `addresses` concurrently. Returns once every call has ended or one response satisfies `isEnough`.
auto callAll(IPeers& peers, std::vector<std::string> addresses, messages::Request request, framework::Milliseconds timeout,
             std::function<bool(const messages::Response&)> isEnough) -> framework::Async<CallResults>;

} // namespace laburnummill::peers
