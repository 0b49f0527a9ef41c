#include "configuration/configurationcodec.h"

#include "configuration/configurationerrors.h"
#include "framework/settings/jsonschema.h"

#include <set>

namespace laburnummill::configuration {

using framework::DocumentFaults;
using framework::Json;

namespace {

constexpr auto s_schemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["dataCentres", "clientAccounts", "pools", "backendServers", "routes"],
  "definitions": {
    "name": { "type": "string", "pattern": "^[a-z0-9][a-z0-9-]{0,63}$" },
    "positive": { "type": "number", "minimum": 0.000001, "maximum": 1000000000 },
    "count": { "type": "integer", "minimum": 1, "maximum": 4000000000 },
    "kind": { "enum": ["model", "plain"] }
  },
  "properties": {
    "version": { "type": "integer", "minimum": 0 },
    "dataCentres": { "type": "array", "minItems": 1, "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "region"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "region": { "$ref": "#/definitions/name" },
        "drained": { "type": "boolean" } } } },
    "clientAccounts": { "type": "array", "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "team", "ratePerSecond", "burst"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "team": { "$ref": "#/definitions/name" },
        "ratePerSecond": { "$ref": "#/definitions/positive" },
        "burst": { "type": "number", "minimum": 1, "maximum": 1000000000 },
        "weight": { "$ref": "#/definitions/positive" } } } },
    "pools": { "type": "array", "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "kind"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "kind": { "$ref": "#/definitions/kind" },
        "models": { "type": "array", "items": { "type": "string", "minLength": 1 } } } } },
    "backendServers": { "type": "array", "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "pool", "dataCentre", "address"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "pool": { "$ref": "#/definitions/name" },
        "dataCentre": { "$ref": "#/definitions/name" },
        "address": { "type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$" },
        "concurrency": { "$ref": "#/definitions/count" },
        "coldConcurrency": { "$ref": "#/definitions/count" },
        "checksFencing": { "type": "boolean" },
        "drained": { "type": "boolean" } } } },
    "routes": { "type": "array", "items": {
      "type": "object", "additionalProperties": false, "required": ["name", "pool", "kind", "path"],
      "properties": {
        "name": { "$ref": "#/definitions/name" },
        "pool": { "$ref": "#/definitions/name" },
        "kind": { "$ref": "#/definitions/kind" },
        "model": { "type": "string" },
        "method": { "enum": ["GET", "POST", "PUT", "DELETE", "PATCH"] },
        "path": { "type": "string", "pattern": "^/" },
        "repeatable": { "type": "boolean" },
        "openToAll": { "type": "boolean" },
        "timeoutMs": { "$ref": "#/definitions/count" } } } },
    "programs": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "maxTurns": { "$ref": "#/definitions/count" },
        "maxTokens": { "$ref": "#/definitions/count" },
        "maxDurationMs": { "$ref": "#/definitions/count" },
        "expiryMs": { "$ref": "#/definitions/count" } } },
    "policy": {
      "type": "object", "additionalProperties": false,
      "properties": {
        "name": { "enum": ["firstcome", "leastloaded", "fairshare"] },
        "preset": { "enum": ["podlozhka", "piedmont"] },
        "fairness": { "type": "number", "minimum": 0, "maximum": 1 },
        "ageingTokensPerSecond": { "type": "number", "minimum": 0, "maximum": 1000000 },
        "passedAtMostMs": { "type": "integer", "minimum": 0, "maximum": 600000 },
        "prefillMsPerToken": { "$ref": "#/definitions/positive" },
        "decodeMsPerStep": { "$ref": "#/definitions/positive" },
        "cacheCapacityTokens": { "$ref": "#/definitions/positive" },
        "queuePerSlot": { "$ref": "#/definitions/count" },
        "minHealthyMs": { "$ref": "#/definitions/count" } } }
  }
})json";

template<class Item, class Read>
auto readList(const Json& document, const char* key, Read read) -> std::vector<Item>
{
    auto items = std::vector<Item>();
    for (const auto& entry : document.value(key, Json::array())) {
        items.push_back(read(entry));
    }
    return items;
}

auto readDataCentre(const Json& entry) -> DataCentre
{
    return {entry.at("name"), entry.at("region"), entry.value("drained", false)};
}

auto readClientAccount(const Json& entry) -> ClientAccount
{
    return {entry.at("name"), entry.at("team"), entry.at("ratePerSecond"), entry.at("burst"), entry.value("weight", 1.0)};
}

auto readPool(const Json& entry) -> Pool
{
    return {entry.at("name"), *routeKindFromName(entry.at("kind").get<std::string>()), entry.value("models", std::vector<std::string>())};
}

auto readBackendServer(const Json& entry) -> BackendServer
{
    auto server = BackendServer();
    server.name = entry.at("name");
    server.pool = entry.at("pool");
    server.dataCentre = entry.at("dataCentre");
    server.address = framework::Endpoint::parse(entry.at("address").get<std::string>());
    server.concurrency = entry.value("concurrency", server.concurrency);
    server.coldConcurrency = entry.value("coldConcurrency", server.coldConcurrency);
    server.checksFencing = entry.value("checksFencing", server.checksFencing);
    server.drained = entry.value("drained", server.drained);
    return server;
}

auto readRoute(const Json& entry) -> Route
{
    auto route = Route();
    route.name = entry.at("name");
    route.pool = entry.at("pool");
    route.kind = *routeKindFromName(entry.at("kind").get<std::string>());
    route.model = entry.value("model", route.model);
    route.method = entry.value("method", route.method);
    route.path = entry.at("path");
    route.repeatable = entry.value("repeatable", route.repeatable);
    route.openToAll = entry.value("openToAll", route.openToAll);
    route.timeoutMs = entry.value("timeoutMs", route.timeoutMs);
    return route;
}

auto readProgramLimits(const Json& document) -> ProgramLimits
{
    const auto entry = document.value("programs", Json::object());
    auto limits = ProgramLimits();
    limits.maxTurns = entry.value("maxTurns", limits.maxTurns);
    limits.maxTokens = entry.value("maxTokens", limits.maxTokens);
    limits.maxDurationMs = entry.value("maxDurationMs", limits.maxDurationMs);
    limits.expiryMs = entry.value("expiryMs", limits.expiryMs);
    return limits;
}

auto readPolicy(const Json& document) -> PolicySettings
{
    const auto entry = document.value("policy", Json::object());
    auto policy = policyPreset(entry.value("preset", std::string()));
    policy.name = entry.value("name", policy.name);
    policy.fairness = entry.value("fairness", policy.fairness);
    policy.ageingTokensPerSecond = entry.value("ageingTokensPerSecond", policy.ageingTokensPerSecond);
    policy.passedAtMostMs = entry.value("passedAtMostMs", policy.passedAtMostMs);
    policy.prefillMsPerToken = entry.value("prefillMsPerToken", policy.prefillMsPerToken);
    policy.decodeMsPerStep = entry.value("decodeMsPerStep", policy.decodeMsPerStep);
    policy.cacheCapacityTokens = entry.value("cacheCapacityTokens", policy.cacheCapacityTokens);
    policy.queuePerSlot = entry.value("queuePerSlot", policy.queuePerSlot);
    policy.minHealthyMs = entry.value("minHealthyMs", policy.minHealthyMs);
    return policy;
}

template<class Item>
auto collectNames(const std::vector<Item>& items, const std::string& pointer, DocumentFaults& faults) -> std::set<std::string>
{
    auto names = std::set<std::string>();
    for (auto index = std::size_t{0}; index < items.size(); ++index) {
        if (!names.insert(items[index].name).second) {
            faults.push_back({pointer + "/" + std::to_string(index) + "/name", "the name occurs more than once: " + items[index].name});
        }
    }
    return names;
}

auto checkReference(const std::set<std::string>& known, const std::string& name, std::string pointer, DocumentFaults& faults) -> void
{
    if (!known.contains(name)) {
        faults.push_back({std::move(pointer), "reference to an unknown name: " + name});
    }
}

auto checkReferences(const Configuration& configuration, DocumentFaults& faults) -> void
{
    const auto dataCentres = collectNames(configuration.dataCentres, "/dataCentres", faults);
    const auto pools = collectNames(configuration.pools, "/pools", faults);
    collectNames(configuration.clientAccounts, "/clientAccounts", faults);
    collectNames(configuration.backendServers, "/backendServers", faults);
    collectNames(configuration.routes, "/routes", faults);
    for (auto index = std::size_t{0}; index < configuration.backendServers.size(); ++index) {
        const auto pointer = "/backendServers/" + std::to_string(index);
        checkReference(pools, configuration.backendServers[index].pool, pointer + "/pool", faults);
        checkReference(dataCentres, configuration.backendServers[index].dataCentre, pointer + "/dataCentre", faults);
    }
    for (auto index = std::size_t{0}; index < configuration.routes.size(); ++index) {
        checkReference(pools, configuration.routes[index].pool, "/routes/" + std::to_string(index) + "/pool", faults);
    }
}

template<class Item, class Write>
auto writeList(const std::vector<Item>& items, Write write) -> Json
{
    auto list = Json::array();
    for (const auto& item : items) {
        list.push_back(write(item));
    }
    return list;
}

auto writePolicy(const PolicySettings& policy) -> Json
{
    return {
        {"name", policy.name},
        {"fairness", policy.fairness},
        {"ageingTokensPerSecond", policy.ageingTokensPerSecond},
        {"passedAtMostMs", policy.passedAtMostMs},
        {"prefillMsPerToken", policy.prefillMsPerToken},
        {"decodeMsPerStep", policy.decodeMsPerStep},
        {"cacheCapacityTokens", policy.cacheCapacityTokens},
        {"queuePerSlot", policy.queuePerSlot},
        {"minHealthyMs", policy.minHealthyMs},
    };
}

auto writeBackendServer(const BackendServer& server) -> Json
{
    return {
        {"name", server.name},
        {"pool", server.pool},
        {"dataCentre", server.dataCentre},
        {"address", server.address.text()},
        {"concurrency", server.concurrency},
        {"coldConcurrency", server.coldConcurrency},
        {"checksFencing", server.checksFencing},
        {"drained", server.drained},
    };
}

auto writeRoute(const Route& route) -> Json
{
    return {
        {"name", route.name},           {"pool", route.pool}, {"kind", routeKindName(route.kind)}, {"model", route.model},
        {"method", route.method},       {"path", route.path}, {"repeatable", route.repeatable},    {"openToAll", route.openToAll},
        {"timeoutMs", route.timeoutMs},
    };
}

} // namespace

auto configurationSchema() -> const Json&
{
    static const auto schema = Json::parse(s_schemaText);
    return schema;
}

auto configurationFromJson(const Json& document, DocumentFaults& faults) -> framework::Result<Configuration>
{
    faults = framework::checkAgainstSchema(document, configurationSchema());
    if (!faults.empty()) {
        return ConfigurationError::Invalid;
    }
    auto configuration = Configuration();
    configuration.version = document.value("version", std::uint64_t{0});
    configuration.dataCentres = readList<DataCentre>(document, "dataCentres", readDataCentre);
    configuration.clientAccounts = readList<ClientAccount>(document, "clientAccounts", readClientAccount);
    configuration.pools = readList<Pool>(document, "pools", readPool);
    configuration.backendServers = readList<BackendServer>(document, "backendServers", readBackendServer);
    configuration.routes = readList<Route>(document, "routes", readRoute);
    configuration.programs = readProgramLimits(document);
    configuration.policy = readPolicy(document);
    checkReferences(configuration, faults);
    if (!faults.empty()) {
        return ConfigurationError::Invalid;
    }
    return configuration;
}

auto toJson(const Configuration& configuration) -> Json
{
    auto document = Json::object();
    document["version"] = configuration.version;
    document["dataCentres"] = writeList(configuration.dataCentres, [](const DataCentre& dataCentre) {
        return Json{{"name", dataCentre.name}, {"region", dataCentre.region}, {"drained", dataCentre.drained}};
    });
    document["clientAccounts"] = writeList(configuration.clientAccounts, [](const ClientAccount& account) {
        return Json{{"name", account.name},
                    {"team", account.team},
                    {"ratePerSecond", account.ratePerSecond},
                    {"burst", account.burst},
                    {"weight", account.weight}};
    });
    document["pools"] = writeList(configuration.pools, [](const Pool& pool) {
        return Json{{"name", pool.name}, {"kind", routeKindName(pool.kind)}, {"models", pool.models}};
    });
    document["backendServers"] = writeList(configuration.backendServers, writeBackendServer);
    document["routes"] = writeList(configuration.routes, writeRoute);
    const auto& programs = configuration.programs;
    document["programs"] = {{"maxTurns", programs.maxTurns},
                            {"maxTokens", programs.maxTokens},
                            {"maxDurationMs", programs.maxDurationMs},
                            {"expiryMs", programs.expiryMs}};
    document["policy"] = writePolicy(configuration.policy);
    return document;
}

} // namespace laburnummill::configuration
