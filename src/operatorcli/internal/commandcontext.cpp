#include "operatorcli/internal/commandcontext.h"

#include <chrono>
#include <ostream>
#include <thread>

namespace laburnummill::operatorcli {

using framework::Json;
using framework::stringAt;

namespace {

constexpr auto s_pollInterval = std::chrono::milliseconds(500);
constexpr auto s_maxPolls = 20;

auto adviceFor(ExitCode code) -> const char*
{
    switch (code) {
    case ExitCode::Unreachable:
        return "check --daemon, and that the daemon is running and listens on its operator address";
    case ExitCode::KeyRejected:
        return "pass an operator's key with the required role in --key-file or LABURNUMMILL_KEY";
    case ExitCode::Conflict:
        return "read the current version (configuration show) and apply the change to it";
    default:
        return nullptr;
    }
}

auto codeOfStatus(unsigned status) -> ExitCode
{
    switch (status) {
    case 0:
        return ExitCode::Unreachable;
    case 401:
    case 403:
        return ExitCode::KeyRejected;
    case 409:
        return ExitCode::Conflict;
    default:
        return status < 300 ? ExitCode::Done : ExitCode::Failed;
    }
}

auto allConfirmed(const Json& dataCentres) -> bool
{
    for (const auto& entry : dataCentres) {
        if (stringAt(entry, "state") != "confirmed") {
            return false;
        }
    }
    return true;
}

auto showState(std::ostream& out, const Json& dataCentres) -> void
{
    for (const auto& entry : dataCentres) {
        out << "  " << stringAt(entry, "dataCentre") << ": " << stringAt(entry, "state") << " ("
            << framework::integerAt(entry, "hostsConfirmed") << " of " << framework::integerAt(entry, "hostsKnown") << " hosts)\n";
    }
    out << std::flush;
}

} // namespace

auto reportFailure(const CommandContext& context, const ApiAnswer& answer) -> ExitCode
{
    const auto code = codeOfStatus(answer.status);
    if (code == ExitCode::Done) {
        return code;
    }
    if (context.asJson) {
        context.out << answer.body.dump(2) << '\n';
    }
    if (code == ExitCode::Unreachable) {
        context.err << "no daemon answered at " << context.api.daemon().text() << '\n';
    } else {
        const auto error = answer.body.value("error", Json::object());
        context.err << stringAt(error, "code", "failed") << ": " << stringAt(error, "message") << '\n';
        if (error.contains("details")) {
            context.err << "  " << error["details"].dump() << '\n';
        }
    }
    if (const auto* advice = adviceFor(code)) {
        context.err << "  " << advice << '\n';
    }
    return code;
}

auto showConfirmations(const CommandContext& context, const ApiAnswer& answer) -> ExitCode
{
    if (const auto code = reportFailure(context, answer); code != ExitCode::Done) {
        return code;
    }
    auto body = answer.body;
    const auto version = framework::integerAt(body, "version");
    const auto query = "document=" + stringAt(body, "document") + "&version=" + std::to_string(version);
    for (auto poll = 0; poll < s_maxPolls && !allConfirmed(body["dataCentres"]); ++poll) {
        if (!context.asJson) {
            context.out << "waiting for confirmations of version " << version << ":\n";
            showState(context.out, body["dataCentres"]);
        }
        std::this_thread::sleep_for(s_pollInterval);
        if (const auto next = context.api.get("confirmations", query); next.status == 200) {
            body["dataCentres"] = next.body["dataCentres"];
        }
    }
    const auto isConfirmed = allConfirmed(body["dataCentres"]);
    if (context.asJson) {
        context.out << body.dump(2) << '\n';
    } else {
        context.out << "version " << version
                    << (isConfirmed ? " is in force everywhere:\n" : " is accepted, but not confirmed everywhere:\n");
        showState(context.out, body["dataCentres"]);
    }
    return isConfirmed ? ExitCode::Done : ExitCode::Unconfirmed;
}

} // namespace laburnummill::operatorcli
