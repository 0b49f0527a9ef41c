#include "framework/global/digest.h"
#include "operatorcli/internal/commands.h"

#include <ostream>

namespace laburnummill::operatorcli {

using framework::Json;

namespace {

constexpr auto s_keyBytes = std::size_t{24};

auto showResult(const CommandContext& context, const ApiAnswer& answer) -> ExitCode
{
    const auto code = reportFailure(context, answer);
    if (code == ExitCode::Done) {
        context.out << (context.asJson ? answer.body.dump(2) : "done") << '\n';
    }
    return code;
}

/// The hash of the key to withdraw: from --hash, or computed from the key on standard input. Empty if neither is given.
auto hashOf(const CommandContext& context) -> std::string
{
    if (auto hash = context.text("hash"); !hash.empty()) {
        return hash;
    }
    auto key = std::string();
    std::getline(context.in, key);
    return key.empty() ? std::string() : framework::sha256Hex(key);
}

auto issueKey(const CommandContext& context) -> ExitCode
{
    auto hash = context.text("hash");
    if (hash.empty()) {
        //! NOTE The key is generated here and printed once; only its hash is sent to the daemon.
        const auto key = "lm-" + framework::randomHex(s_keyBytes);
        hash = framework::sha256Hex(key);
        const auto code =
            showConfirmations(context, context.api.send("POST", "keys", {{"keyHash", hash}, {"account", context.text("account")}}));
        if (code == ExitCode::Done || code == ExitCode::Unconfirmed) {
            context.out << "key (shown this once): " << key << '\n';
        }
        return code;
    }
    return showConfirmations(context, context.api.send("POST", "keys", {{"keyHash", hash}, {"account", context.text("account")}}));
}

auto withdrawKey(const CommandContext& context) -> ExitCode
{
    const auto hash = hashOf(context);
    if (hash.empty()) {
        context.err << "give --hash, or the key itself on standard input\n";
        return ExitCode::Usage;
    }
    return showConfirmations(context, context.api.send("DELETE", "keys/" + hash, nullptr));
}

auto setDrained(const CommandContext& context, bool isDrained) -> ExitCode
{
    const auto dataCentre = context.text("data-centre");
    const auto backend = context.text("backend");
    if (dataCentre.empty() == backend.empty()) {
        context.err << "give either --data-centre or --backend\n";
        return ExitCode::Usage;
    }
    const auto body = Json{{"kind", backend.empty() ? "dataCentre" : "backendServer"},
                           {"name", backend.empty() ? dataCentre : backend},
                           {"drained", isDrained}};
    return showConfirmations(context, context.api.send("POST", "drains", body));
}

auto drain(const CommandContext& context) -> ExitCode
{
    return setDrained(context, true);
}

auto returnToService(const CommandContext& context) -> ExitCode
{
    return setDrained(context, false);
}

auto stopHost(const CommandContext& context) -> ExitCode
{
    return showResult(context, context.api.send("POST", "stop", Json::object()));
}

auto resolveOutcome(const CommandContext& context) -> ExitCode
{
    const auto body = Json{{"account", context.text("account")},
                           {"keyHash", context.text("hash")},
                           {"finding", context.text("finding")},
                           {"why", context.text("why")}};
    return showResult(context, context.api.send("POST", "outcomes", body));
}

auto releaseQuarantine(const CommandContext& context) -> ExitCode
{
    return showResult(context,
                      context.api.send("POST", "quarantine", {{"fingerprint", context.text("fingerprint")}, {"why", context.text("why")}}));
}

auto issueOperatorKey(const CommandContext& context) -> ExitCode
{
    const auto key = "lm-operator-" + framework::randomHex(s_keyBytes);
    const auto body = Json{{"keyHash", framework::sha256Hex(key)},
                           {"name", context.text("name")},
                           {"role", context.text("role")},
                           {"team", context.text("team")}};
    const auto code = showResult(context, context.api.send("POST", "operators", body));
    if (code == ExitCode::Done) {
        context.out << "operator's key (shown this once): " << key << '\n';
    }
    return code;
}

auto withdrawOperator(const CommandContext& context) -> ExitCode
{
    return showResult(context, context.api.send("DELETE", "operators/" + context.text("hash"), nullptr));
}

} // namespace

auto changeCommands() -> std::vector<Command>
{
    return {
        {"keys give", "gives a new key, or the one with --hash, to --account", {"account"}, true, issueKey},
        {"keys withdraw", "withdraws the key with --hash, or the one on standard input", {}, true, withdrawKey},
        {"drain", "drains --data-centre or --backend: it receives no new work", {}, true, drain},
        {"return", "returns --data-centre or --backend to service", {}, true, returnToService},
        {"stop", "stops the daemon given by --daemon gracefully", {}, true, stopHost},
        {"outcomes resolve",
         "resolves the call of --account and --hash as --finding ran or not-run; --why is recorded",
         {"account", "hash", "finding", "why"},
         true,
         resolveOutcome},
        {"quarantine release",
         "allows the request with --fingerprint to run again; --why is recorded",
         {"fingerprint", "why"},
         true,
         releaseQuarantine},
        {"operators give",
         "gives a key to operator --name with --role viewer, operator or administrator, of --team or all",
         {"name", "role"},
         true,
         issueOperatorKey},
        {"operators withdraw", "withdraws the operator's key with --hash", {"hash"}, true, withdrawOperator},
    };
}

} // namespace laburnummill::operatorcli
