#include "questionnaire/questions.h"

#include <algorithm>
#include <array>

namespace laburnummill::questionnaire {

namespace {

constexpr auto s_dataCentreFields = std::to_array<FieldQuestion>({
    {"name", "Name of the data centre", AnswerKind::Name, {}, {}},
    {"region", "Its region", AnswerKind::Name, {}, {}},
});

constexpr auto s_clientAccountFields = std::to_array<FieldQuestion>({
    {"name", "Name of the client account", AnswerKind::Name, {}, {}},
    {"team", "The team that it belongs to", AnswerKind::Name, {}, {}},
    {"ratePerSecond", "Requests a second over the whole fleet", AnswerKind::Number, {}, {}},
    {"burst", "Requests at once", AnswerKind::Number, {}, {}},
    {"weight", "Its share of the engines relative to others", AnswerKind::Number, {}, "1"},
});

constexpr auto s_backendServerFields = std::to_array<FieldQuestion>({
    {"name", "Name of the backend server", AnswerKind::Name, {}, {}},
    {"kind", "Is it a model engine or a plain service", AnswerKind::Choice, "model plain", {}},
    {"pool", "The pool that it belongs to", AnswerKind::Name, {}, {}},
    {"dataCentre", "Its data centre", AnswerKind::Name, {}, {}},
    {"address", "Its address, IP number and port", AnswerKind::Text, {}, {}},
    {"concurrency", "Requests at once when warm", AnswerKind::Number, {}, "8"},
    {"coldConcurrency", "Requests at once in a cold start", AnswerKind::Number, {}, "1"},
    {"checksFencing", "Does it refuse orders with an old fencing number", AnswerKind::YesNo, {}, "no"},
});

constexpr auto s_routeFields = std::to_array<FieldQuestion>({
    {"name", "Name of the call", AnswerKind::Name, {}, {}},
    {"pool", "The pool that serves it", AnswerKind::Name, {}, {}},
    {"path", "Its path at the backend server", AnswerKind::Text, {}, {}},
    {"model", "The model, for a call to a model engine", AnswerKind::Text, {}, "-"},
    {"mustNeverRepeat", "Must it never run twice", AnswerKind::YesNo, {}, "yes"},
    {"openToAll", "Is it open to callers without a key", AnswerKind::YesNo, {}, "no"},
});

constexpr auto s_policyFields = std::to_array<FieldQuestion>({
    {"preset", "What weighs most: equal service for small accounts (fairness), short programs (latency) or both (balanced)",
     AnswerKind::Choice, "fairness latency balanced", "balanced"},
});

constexpr auto s_programFields = std::to_array<FieldQuestion>({
    {"maxTurns", "Most turns of a program", AnswerKind::Number, {}, "64"},
    {"maxTokens", "Most tokens of a program", AnswerKind::Number, {}, "1000000"},
    {"rememberedHours", "Hours for which a conversation is remembered after its last call", AnswerKind::Number, {}, "12"},
});

constexpr auto s_questions = std::to_array<Question>({
    {"dataCentres", "Which data centres are there?", true, s_dataCentreFields},
    {"clientAccounts", "Which client accounts are there?", true, s_clientAccountFields},
    {"backendServers", "Which backend servers are there?", true, s_backendServerFields},
    {"calls", "Which calls can programs make?", true, s_routeFields},
    {"programs", "How large may a program become?", false, s_programFields},
    {"policy", "How are calls ordered?", false, s_policyFields},
});

} // namespace

auto questions() -> std::span<const Question>
{
    return s_questions;
}

auto questionOf(std::string_view key) -> std::optional<Question>
{
    const auto found = std::ranges::find(s_questions, key, &Question::key);
    return found == s_questions.end() ? std::nullopt : std::optional(*found);
}

} // namespace laburnummill::questionnaire
