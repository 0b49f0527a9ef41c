#include "questionnaire/internal/answercheck.h"

#include "framework/http/httptypes.h"
#include "questionnaire/questions.h"

#include <algorithm>
#include <map>
#include <set>

namespace laburnummill::questionnaire {

using framework::Json;
using framework::stringAt;

namespace {

constexpr auto s_maxNameLength = std::size_t{64};

auto isName(const std::string& text) -> bool
{
    const auto isAllowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= '0' && letter <= '9') || letter == '-';
    };
    return !text.empty() && text.size() <= s_maxNameLength && text.front() != '-' && std::ranges::all_of(text, isAllowed);
}

auto isAmong(std::string_view choices, const std::string& text) -> bool
{
    auto padded = " " + std::string(choices) + " ";
    return !text.empty() && padded.find(" " + text + " ") != std::string::npos;
}

/// What is wrong with a value; empty where it is right.
auto faultOf(const FieldQuestion& field, const Json& value) -> std::string
{
    switch (field.kind) {
    case AnswerKind::Name:
        return value.is_string() && isName(value.get<std::string>()) ? "" : "a name of lower-case letters, digits and hyphens is wanted";
    case AnswerKind::Number:
        return value.is_number() && value.get<double>() > 0 ? "" : "a number above zero is wanted";
    case AnswerKind::YesNo:
        return value.is_boolean() ? "" : "true or false is wanted";
    case AnswerKind::Choice:
        return value.is_string() && isAmong(field.choices, value.get<std::string>())
                   ? ""
                   : "one of these is wanted: " + std::string(field.choices);
    case AnswerKind::Text:
        return value.is_string() && !value.get<std::string>().empty() ? "" : "a text is wanted";
    }
    return {};
}

auto checkEntry(const Question& question, std::size_t number, const Json& entry, AnswerFaults& faults) -> void
{
    if (!entry.is_object()) {
        faults.push_back({std::string(question.key), number, {}, "an object is wanted"});
        return;
    }
    auto known = std::set<std::string, std::less<>>();
    for (const auto& field : question.fields) {
        const auto key = std::string(field.key);
        known.insert(key);
        if (!entry.contains(key)) {
            if (field.fallback.empty()) {
                faults.push_back({std::string(question.key), number, key, "the answer is missing"});
            }
            continue;
        }
        if (auto fault = faultOf(field, entry[key]); !fault.empty()) {
            faults.push_back({std::string(question.key), number, key, std::move(fault)});
        }
    }
    for (const auto& [key, value] : entry.items()) {
        if (!known.contains(key)) {
            faults.push_back({std::string(question.key), number, key, "this was not asked"});
        }
    }
}

auto entriesOf(const Json& answers, const char* question) -> Json
{
    return answers.value(question, Json::array());
}

auto namesIn(const Json& answers, const char* question, AnswerFaults& faults) -> std::set<std::string>
{
    auto names = std::set<std::string>();
    auto number = std::size_t{0};
    for (const auto& entry : entriesOf(answers, question)) {
        ++number;
        if (!names.insert(stringAt(entry, "name")).second) {
            faults.push_back({question, number, "name", "the name stands twice: " + stringAt(entry, "name")});
        }
    }
    return names;
}

auto checkBackendServers(const Json& answers, const std::set<std::string>& dataCentres, AnswerFaults& faults)
    -> std::map<std::string, std::string>
{
    auto kinds = std::map<std::string, std::string>();
    auto addresses = std::set<std::string>();
    auto number = std::size_t{0};
    for (const auto& entry : entriesOf(answers, "backendServers")) {
        ++number;
        const auto fault = [&](const char* field, std::string text) {
            faults.push_back({"backendServers", number, field, std::move(text)});
        };
        if (!dataCentres.contains(stringAt(entry, "dataCentre"))) {
            fault("dataCentre", "there is no such data centre: " + stringAt(entry, "dataCentre"));
        }
        if (framework::Endpoint::parse(stringAt(entry, "address")).port == 0) {
            fault("address", "an IP number and a port are wanted, e.g. 10.0.0.1:8000");
        } else if (!addresses.insert(stringAt(entry, "address")).second) {
            fault("address", "another backend server has this address");
        }
        const auto [position, added] = kinds.emplace(stringAt(entry, "pool"), stringAt(entry, "kind"));
        if (!added && position->second != stringAt(entry, "kind")) {
            fault("kind", "the pool holds backend servers of the other kind");
        }
        if (entry.value("coldConcurrency", 1.0) > entry.value("concurrency", 8.0)) {
            fault("coldConcurrency", "it bears more in a cold start than when warm");
        }
    }
    return kinds;
}

auto checkCalls(const Json& answers, const std::map<std::string, std::string>& poolKinds, AnswerFaults& faults) -> void
{
    auto number = std::size_t{0};
    for (const auto& entry : entriesOf(answers, "calls")) {
        ++number;
        const auto fault = [&](const char* field, std::string text) { faults.push_back({"calls", number, field, std::move(text)}); };
        const auto pool = poolKinds.find(stringAt(entry, "pool"));
        if (pool == poolKinds.end()) {
            fault("pool", "no backend server belongs to the pool: " + stringAt(entry, "pool"));
            continue;
        }
        const auto hasModel = stringAt(entry, "model", "-") != "-";
        if (pool->second == "model" && !hasModel) {
            fault("model", "a call to a model engine needs a model");
        }
        if (pool->second == "plain" && hasModel) {
            fault("model", "a call to a plain service has no model");
        }
        if (!stringAt(entry, "path").starts_with('/')) {
            fault("path", "a path begins with a slash");
        }
        if (framework::boolAt(entry, "mustNeverRepeat", true) && framework::boolAt(entry, "openToAll")) {
            fault("openToAll", "a call that must never run twice needs a client account, so it cannot be open to all");
        }
    }
}

} // namespace

auto checkFields(const Json& answers) -> AnswerFaults
{
    auto faults = AnswerFaults();
    if (!answers.is_object()) {
        faults.push_back({"answers", 0, {}, "an object is wanted"});
        return faults;
    }
    for (const auto& question : questions()) {
        const auto key = std::string(question.key);
        const auto entries = answers.value(key, question.isList ? Json::array() : Json::object());
        if (question.isList && (!entries.is_array() || entries.empty())) {
            faults.push_back({key, 0, {}, "at least one entry is wanted"});
            continue;
        }
        if (!question.isList) {
            checkEntry(question, 0, entries, faults);
            continue;
        }
        for (auto index = std::size_t{0}; index < entries.size(); ++index) {
            checkEntry(question, index + 1, entries[index], faults);
        }
    }
    for (const auto& [key, value] : answers.items()) {
        if (!questionOf(key)) {
            faults.push_back({key, 0, {}, "there is no such question"});
        }
    }
    return faults;
}

auto checkContradictions(const Json& answers) -> AnswerFaults
{
    auto faults = AnswerFaults();
    const auto dataCentres = namesIn(answers, "dataCentres", faults);
    namesIn(answers, "clientAccounts", faults);
    namesIn(answers, "backendServers", faults);
    namesIn(answers, "calls", faults);
    const auto poolKinds = checkBackendServers(answers, dataCentres, faults);
    checkCalls(answers, poolKinds, faults);
    return faults;
}

} // namespace laburnummill::questionnaire
