#pragma once

#include "calls/calltypes.h"
#include "framework/global/async.h"
#include "framework/global/cancellation.h"
#include "programs/programerrors.h"

#include <string>
#include <string_view>
#include <variant>

namespace laburnummill::programs {

/// One call of a program.
struct ProgramCall
{
    std::string account;
    std::string program;
    std::string call;       ///< the caller's id of the call; a repeated call gets the first answer
    std::uint32_t turn = 0; ///< numbered from 1 without gaps
    std::string route;
    std::string body;
    framework::Milliseconds timeout{60'000};
};

/// Status of a program as reported to callers.
struct ProgramStatus
{
    std::string program;
    std::uint32_t turns = 0;
    std::uint64_t tokens = 0;
    bool ended = false;
    std::uint64_t startedAtMs = 0; ///< Unix time; 0 if unknown

    auto operator==(const ProgramStatus&) const -> bool = default;
};

using StartOutcome = std::variant<std::string, calls::CallFailure>;
using StatusOutcome = std::variant<ProgramStatus, calls::CallFailure>;

/// Access to programs through any host of any data centre.
class IPrograms
{
public:
    static constexpr std::string_view s_serviceName = "programs.programs";

    virtual ~IPrograms() = default;

    /// Starts a program for an account, or a sub-agent if `parent` is not empty; returns its id.
    virtual auto start(std::string account, std::string parent) -> framework::Async<StartOutcome> = 0;

    /// Runs a call of the program once all earlier turns are committed.
    virtual auto call(ProgramCall call, backends::IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<calls::CallOutcome> = 0;

    virtual auto status(std::string account, std::string program) -> framework::Async<StatusOutcome> = 0;

    virtual auto end(std::string account, std::string program) -> framework::Async<StatusOutcome> = 0;
};

} // namespace laburnummill::programs
