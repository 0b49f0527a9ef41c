#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "framework/http/httptypes.h"
#include "scheduling/schedulingerrors.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnummill::scheduling {

/// What a call needs. Nothing of the program's future: its shape is unknown in advance.
struct PermitRequest
{
    std::string pool;
    std::string model;
    std::string account;
    std::string program;                     ///< empty without a program
    std::string root;                        ///< the program that a sub-agent works for; empty: `program` itself
    std::uint64_t promptTokens = 0;          ///< estimated
    framework::Milliseconds timeout{60'000}; ///< from now until the caller's deadline
};

/// Leave to send one request to one back end.
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
    ConnectionFailed, ///< the back end is unreachable or broke off
    Cancelled,
};

struct PermitUse
{
    PermitEnd end = PermitEnd::Finished;
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
    std::uint64_t completionTokens = 0;
};

/// Decides who runs next, and where.
class IScheduler
{
public:
    static constexpr std::string_view s_serviceName = "scheduling.scheduler";

    virtual ~IScheduler() = default;

    /// Waits for a permit, at most the request's patience. A failure means that nothing was sent anywhere.
    virtual auto acquire(PermitRequest request) -> framework::AsyncResult<Permit> = 0;

    /// Ends a permit. Called once for each.
    virtual auto release(const Permit& permit, const PermitUse& use) -> void = 0;
};

} // namespace laburnummill::scheduling
