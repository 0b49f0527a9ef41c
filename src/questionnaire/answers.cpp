#include "questionnaire/answers.h"

#include "configuration/configurationcodec.h"
#include "questionnaire/internal/answercheck.h"
#include "questionnaire/questions.h"

#include <map>
#include <set>

namespace laburnummill::questionnaire {

using framework::Json;
using framework::stringAt;

namespace {

constexpr auto s_millisecondsPerHour = 3'600'000.0;

/// Entries of a question with the fallbacks of what was left out.
auto entriesWithFallbacks(const Json& answers, const char* key) -> Json
{
    const auto question = questionOf(key);
    auto entries = answers.value(key, Json::array());
    for (auto& entry : entries) {
        for (const auto& field : question->fields) {
            const auto name = std::string(field.key);
            if (entry.contains(name) || field.fallback.empty()) {
                continue;
            }
            if (field.kind == AnswerKind::Number) {
                entry[name] = Json::parse(field.fallback);
            } else if (field.kind == AnswerKind::YesNo) {
                entry[name] = field.fallback == "yes";
            } else {
                entry[name] = field.fallback;
            }
        }
    }
    return entries;
}

auto poolsOf(const Json& backendServers, const Json& calls) -> Json
{
    auto kinds = std::map<std::string, std::string>();
    for (const auto& server : backendServers) {
        kinds[stringAt(server, "pool")] = stringAt(server, "kind");
    }
    auto models = std::map<std::string, std::set<std::string>>();
    for (const auto& call : calls) {
        if (stringAt(call, "model") != "-") {
            models[stringAt(call, "pool")].insert(stringAt(call, "model"));
        }
    }
    auto pools = Json::array();
    for (const auto& [name, kind] : kinds) {
        pools.push_back({{"name", name}, {"kind", kind}, {"models", models[name]}});
    }
    return pools;
}

auto kindOfPool(const Json& pools, const std::string& name) -> std::string
{
    for (const auto& pool : pools) {
        if (stringAt(pool, "name") == name) {
            return stringAt(pool, "kind");
        }
    }
    return {};
}

auto routesOf(const Json& calls, const Json& pools) -> Json
{
    auto routes = Json::array();
    for (const auto& call : calls) {
        const auto pool = stringAt(call, "pool");
        auto route = Json{{"name", call["name"]},
                          {"pool", pool},
                          {"kind", kindOfPool(pools, pool)},
                          {"path", call["path"]},
                          {"repeatable", !call["mustNeverRepeat"].get<bool>()},
                          {"openToAll", call["openToAll"]}};
        if (stringAt(call, "model") != "-") {
            route["model"] = call["model"];
        }
        routes.push_back(std::move(route));
    }
    return routes;
}

auto withoutKind(Json backendServers) -> Json
{
    for (auto& server : backendServers) {
        server.erase("kind");
        for (const auto* count : {"concurrency", "coldConcurrency"}) {
            server[count] = static_cast<std::uint64_t>(server[count].get<double>());
        }
    }
    return backendServers;
}

auto programsOf(const Json& answers) -> Json
{
    const auto programs = answers.value("programs", Json::object());
    auto limits = Json::object();
    limits["maxTurns"] = static_cast<std::uint64_t>(programs.value("maxTurns", 64.0));
    limits["maxTokens"] = static_cast<std::uint64_t>(programs.value("maxTokens", 1'000'000.0));
    limits["expiryMs"] = static_cast<std::uint64_t>(programs.value("rememberedHours", 12.0) * s_millisecondsPerHour);
    return limits;
}

auto policyOf(const Json& answers) -> configuration::PolicySettings
{
    static const auto presets = std::map<std::string, std::string>{{"fairness", "podlozhka"}, {"balanced", ""}, {"latency", "piedmont"}};
    return configuration::policyPreset(presets.at(stringAt(answers.value("policy", Json::object()), "preset", "balanced")));
}

} // namespace

auto describe(const AnswerFault& fault) -> std::string
{
    auto text = fault.question;
    if (fault.entry > 0) {
        text += ", entry " + std::to_string(fault.entry);
    }
    if (!fault.field.empty()) {
        text += ", " + fault.field;
    }
    return text + ": " + fault.description;
}

auto configurationFromAnswers(const Json& answers, AnswerFaults& faults) -> framework::Result<Json>
{
    faults = checkFields(answers);
    if (faults.empty()) {
        faults = checkContradictions(answers);
    }
    if (!faults.empty()) {
        return framework::failure(QuestionnaireError::AnswersInvalid);
    }
    const auto calls = entriesWithFallbacks(answers, "calls");
    const auto servers = entriesWithFallbacks(answers, "backendServers");
    auto document = Json::object();
    document["dataCentres"] = answers["dataCentres"];
    document["clientAccounts"] = entriesWithFallbacks(answers, "clientAccounts");
    document["pools"] = poolsOf(servers, calls);
    document["backendServers"] = withoutKind(servers);
    document["routes"] = routesOf(calls, document["pools"]);
    document["programs"] = programsOf(answers);

    auto documentFaults = framework::DocumentFaults();
    auto configuration = configuration::configurationFromJson(document, documentFaults);
    for (const auto& fault : documentFaults) {
        faults.push_back({fault.pointer, 0, {}, fault.description});
    }
    if (!configuration) {
        return framework::failure(QuestionnaireError::AnswersInvalid);
    }
    configuration.value().policy = policyOf(answers);
    return toJson(configuration.value());
}

} // namespace laburnummill::questionnaire
