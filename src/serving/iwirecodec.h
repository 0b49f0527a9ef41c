#pragma once

#include "serving/callerrequest.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

namespace laburnummill::serving {

namespace http = boost::beast::http;

/// What a backend server's reply says beside its status and body.
struct ReplyMetadata
{
    std::string requestId;
    bool isSigned = false;                              ///< carries the signature without which a success does not count
    bool saysNotRun = false;                            ///< states that the request was not run
    std::optional<int> waiting;                         ///< requests that wait at the server
    std::optional<framework::Milliseconds> idleTimeout; ///< of the connection
    bool isEncoded = false;                             ///< the body is not as the server made it
};

/// Where a request is sent, and as whose.
struct BackendTarget
{
    std::string instance;
    std::string account; ///< empty where the route is open
    framework::Milliseconds remainingTime{0};
};

/// Names and formats of requests and replies; decides nothing.
class IWireCodec
{
public:
    virtual ~IWireCodec() = default;

    /// The request without its body; nothing where a header cannot be read.
    virtual auto decodeRequest(const http::request_header<>& header) const -> std::optional<CallerRequest> = 0;

    /// The head of a request to a backend server; content length not set.
    virtual auto encodeRequest(const CallerRequest& request, const BackendTarget& target) const -> http::request_header<> = 0;

    virtual auto decodeReply(const http::response_header<>& header) const -> ReplyMetadata = 0;

    /// Names the request in an answer that is not a backend server's.
    virtual auto addOwnResponseFields(http::fields& fields, const std::string& requestId,
                                      std::optional<framework::Milliseconds> retryAfter) const -> void = 0;
};

} // namespace laburnummill::serving
