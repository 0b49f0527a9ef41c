#include "calls/internal/intentrecord.h"

#include "framework/global/digest.h"
#include "framework/global/nametable.h"

namespace laburnummill::calls {

using framework::Json;

namespace {

constexpr auto s_stateNames = framework::NameTable<IntentState, 5>{{
    {IntentState::Started, "started"},
    {IntentState::Finished, "finished"},
    {IntentState::Unknown, "unknown"},
    {IntentState::Released, "released"},
    {IntentState::Ran, "ran"},
}};

} // namespace

auto intentStateName(IntentState state) -> std::string_view
{
    return framework::nameOf(s_stateNames, state);
}

auto intentStateFromName(std::string_view name) -> std::optional<IntentState>
{
    return framework::valueOf(s_stateNames, name);
}

auto toJson(const IntentRecord& record) -> Json
{
    auto document = Json{
        {"account", record.key.account},
        {"keyHash", record.key.keyHash},
        {"attempt", record.attempt},
        {"host", record.executor.host},
        {"incarnation", record.executor.incarnation},
        {"body", record.bodyDigest},
        {"state", intentStateName(record.state)},
        {"startedAtMs", record.startedAtMs},
    };
    if (record.answer) {
        document["answer"] = toJson(*record.answer);
    }
    if (!record.resolvedBy.empty()) {
        document["resolvedBy"] = record.resolvedBy;
        document["reason"] = record.reason;
    }
    return document;
}

auto intentFromJson(const Json& document) -> IntentRecord
{
    auto record = IntentRecord();
    record.key = {framework::stringAt(document, "account"), framework::stringAt(document, "keyHash")};
    record.attempt = framework::stringAt(document, "attempt");
    record.executor = {framework::stringAt(document, "host"), static_cast<std::uint64_t>(framework::integerAt(document, "incarnation"))};
    record.bodyDigest = framework::stringAt(document, "body");
    // NOTE A call in a state that this version of the daemon cannot parse must not run again.
    record.state = intentStateFromName(framework::stringAt(document, "state")).value_or(IntentState::Unknown);
    record.startedAtMs = framework::integerAt(document, "startedAtMs");
    if (document.is_object() && document.contains("answer")) {
        record.answer = answerFromJson(document["answer"]);
    }
    record.resolvedBy = framework::stringAt(document, "resolvedBy");
    record.reason = framework::stringAt(document, "reason");
    return record;
}

auto bodyDigestOf(const CallRequest& request) -> std::string
{
    return framework::sha256Hex(request.route + "\n" + request.body);
}

auto intentKeyOf(const CallRequest& request) -> IntentKey
{
    return {request.account, framework::sha256Hex(request.idempotencyKey)};
}

} // namespace laburnummill::calls
