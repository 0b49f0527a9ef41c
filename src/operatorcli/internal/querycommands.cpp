#include "operatorcli/internal/commands.h"

#include <iomanip>
#include <ostream>

namespace laburnummill::operatorcli {

using framework::boolAt;
using framework::integerAt;
using framework::Json;
using framework::stringAt;

namespace {

/// Prints a response as JSON if --json is given, else by calling `show`.
template<class Show>
auto present(const CommandContext& context, const ApiAnswer& answer, Show show) -> ExitCode
{
    const auto code = reportFailure(context, answer);
    if (code != ExitCode::Done) {
        return code;
    }
    if (context.asJson) {
        context.out << answer.body.dump(2) << '\n';
    } else {
        show(answer.body);
    }
    return code;
}

auto showDataCentre(std::ostream& out, const Json& entry) -> void
{
    auto alive = 0;
    for (const auto& host : entry["hosts"]) {
        alive += boolAt(host, "alive") ? 1 : 0;
    }
    const auto state = stringAt(entry, "configuration");
    out << "  " << std::left << std::setw(18) << stringAt(entry, "name") << std::setw(10)
        << (boolAt(entry, "drained") ? "DRAINED" : "serving") << std::setw(16) << state << alive << " of " << entry["hosts"].size()
        << " hosts alive";
    out << (state == "confirmed" ? "\n" : "   <- configuration not confirmed\n");
    for (const auto& host : entry["hosts"]) {
        out << "    " << std::setw(24) << stringAt(host, "host") << (boolAt(host, "alive") ? "alive" : "UNREACHABLE") << '\n';
    }
}

auto status(const CommandContext& context) -> ExitCode
{
    return present(context, context.api.get("status"), [&](const Json& body) {
        auto& out = context.out;
        out << "host " << stringAt(body, "host") << " in " << stringAt(body, "dataCentre") << ": "
            << (boolAt(body, "ready") ? "ready" : "NOT READY") << ", " << integerAt(body, "runningRequests") << " requests running\n"
            << "configuration " << integerAt(body, "configurationVersion") << ", keys " << integerAt(body, "keysVersion") << ", "
            << integerAt(body, "quarantined") << " requests in quarantine\n\ndata centres\n";
        for (const auto& entry : body["dataCentres"]) {
            showDataCentre(out, entry);
        }
        out << "\nback ends\n";
        for (const auto& server : body["backendServers"]) {
            out << "  " << std::left << std::setw(24) << stringAt(server, "name") << std::setw(16) << stringAt(server, "pool")
                << std::setw(18) << stringAt(server, "dataCentre") << (boolAt(server, "drained") ? "DRAINED" : "serving") << '\n';
        }
    });
}

auto dump(const CommandContext& context) -> ExitCode
{
    return present(context, context.api.get("dump"), [&](const Json& body) { context.out << body.dump(2) << '\n'; });
}

auto listKeys(const CommandContext& context) -> ExitCode
{
    return present(context, context.api.get("keys"), [&](const Json& body) {
        for (const auto& entry : body["keys"]) {
            context.out << stringAt(entry, "keyHash") << "  " << std::left << std::setw(24) << stringAt(entry, "account")
                        << (boolAt(entry, "withdrawn") ? "withdrawn" : "valid") << '\n';
        }
    });
}

auto listOutcomes(const CommandContext& context) -> ExitCode
{
    return present(context, context.api.get("outcomes"), [&](const Json& body) {
        for (const auto& entry : body["outcomes"]) {
            context.out << stringAt(entry, "account") << ' ' << stringAt(entry, "keyHash") << " was running on " << stringAt(entry, "host")
                        << '\n';
        }
        context.out << body["outcomes"].size() << " unknown outcomes\n";
    });
}

auto listQuarantine(const CommandContext& context) -> ExitCode
{
    return present(context, context.api.get("quarantine"), [&](const Json& body) {
        for (const auto& entry : body["quarantined"]) {
            context.out << stringAt(entry, "fingerprint") << ": " << integerAt(entry, "crashes") << " crashes\n";
        }
        context.out << body["quarantined"].size() << " requests in quarantine\n";
    });
}

auto showProgram(const CommandContext& context) -> ExitCode
{
    const auto answer = context.api.get("programs/" + context.text("program"), "account=" + context.text("account"));
    return present(context, answer, [&](const Json& body) {
        context.out << stringAt(body, "program") << ": " << integerAt(body, "turns") << " turns, " << integerAt(body, "tokens")
                    << " tokens, " << (boolAt(body, "ended") ? "ended" : "running") << '\n';
    });
}

auto listOperators(const CommandContext& context) -> ExitCode
{
    return present(context, context.api.get("operators"), [&](const Json& body) {
        for (const auto& entry : body["operators"]) {
            const auto team = stringAt(entry, "team");
            context.out << stringAt(entry, "name") << ", " << stringAt(entry, "role") << ", " << (team.empty() ? "all teams" : team)
                        << ", key " << stringAt(entry, "keyHash") << '\n';
        }
    });
}

auto showAudit(const CommandContext& context) -> ExitCode
{
    return present(context, context.api.get("audit"), [&](const Json& body) {
        for (const auto& entry : body["entries"]) {
            context.out << integerAt(entry, "atMs") << ' ' << stringAt(entry, "operator") << ' ' << stringAt(entry, "action") << ' '
                        << stringAt(entry, "target") << ": " << stringAt(entry, "outcome") << '\n';
        }
    });
}

} // namespace

auto queryCommands() -> std::vector<Command>
{
    return {
        {"status", "data centres, hosts and back ends, with unreachable and drained ones marked, on one screen", {}, true, status},
        {"dump", "the daemon's internal state, as JSON", {}, true, dump},
        {"keys list", "callers' keys by their hashes", {}, true, listKeys},
        {"outcomes list", "calls that may have run, with an unknown outcome", {}, true, listOutcomes},
        {"quarantine list", "requests that crashed back ends", {}, true, listQuarantine},
        {"programs", "the state of --program of --account", {"program", "account"}, true, showProgram},
        {"operators list", "operators and their roles", {}, true, listOperators},
        {"audit", "the latest changes and who made them", {}, true, showAudit},
    };
}

} // namespace laburnummill::operatorcli
