#include "programs/internal/programstate.h"

namespace laburnummill::programs {

using framework::Json;

namespace {

auto withoutBrackets(const Json& values) -> std::string
{
    const auto text = framework::dumpJson(values);
    return text.substr(1, text.size() - 2);
}

} // namespace

auto addTurn(ProgramState& state, const ChainLink& link) -> void
{
    state.turns = link.record.turn;
    state.head = link.digest;
    if (!link.record.messages.empty()) {
        state.segments.push_back(link.record.messages);
        state.historyTokens = tokensOf(link.record);
    }
    state.bytes += link.record.messages.size() + link.record.answer.body.size();
    state.answers[link.record.call] = link.record.answer;
}

auto messagesOf(const Json& body) -> std::string
{
    const auto found = body.find("messages");
    return found != body.end() && found->is_array() ? withoutBrackets(*found) : std::string();
}

auto bodyWithHistory(const ProgramState& state, Json body, const std::string& addedMessages) -> std::string
{
    if (addedMessages.empty()) {
        return framework::dumpJson(body);
    }
    body.erase("messages");
    const auto rest = framework::dumpJson(body);
    auto merged = std::string(R"({"messages":[)");
    for (const auto& segment : state.segments) {
        merged += segment + ",";
    }
    merged += addedMessages + "]";
    merged += rest == "{}" ? "}" : "," + rest.substr(1);
    return merged;
}

} // namespace laburnummill::programs
