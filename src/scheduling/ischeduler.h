#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "framework/http/httptypes.h"
#include "scheduling/schedulingerrors.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnummill::scheduling {

/// A call's request for a permit. It contains nothing about later calls of the program, which are not known in advance.
struct PermitRequest
{
    std::string pool;
    std::string model;
    std::string account;
    std::string program;                     ///< empty if the call belongs to no program
    std::string root;                        ///< the program that a sub-agent works for; empty if `program` is not a sub-agent
    std::uint64_t promptTokens = 0;          ///< estimated
    framework::Milliseconds timeout{60'000}; ///< time from now until the caller's deadline
};

/// Permission to send one request to one back end.
struct Permit
{
    std::uint64_t id = 0;
    std::string pool;
    std::string backend;
    std::string dataCentre;
    framework::Endpoint address;
    std::uint64_t fencing = 0;
};

/// How a permitted request ended.
enum class PermitEnd
{
    Finished,
    RefusedByBackend,
    ConnectionFailed, ///< the back end is unreachable or the connection was lost
    Cancelled,
};

/// The outcome of a permitted request and its token counts.
struct PermitUse
{
    PermitEnd end = PermitEnd::Finished;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Decides which call runs next and on which back end.
class IScheduler
{
public:
    static constexpr std::string_view s_serviceName = "scheduling.scheduler";

    virtual ~IScheduler() = default;

    /// Waits for a permit until the request's timeout. A failure means that nothing was sent to a back end.
    virtual auto acquire(PermitRequest request) -> framework::AsyncResult<Permit> = 0;

    /// Ends a permit. Must be called exactly once for each permit.
    virtual auto release(const Permit& permit, const PermitUse& use) -> void = 0;
};

} // namespace laburnummill::scheduling
