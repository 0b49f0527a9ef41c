#include "framework/settings/daemonsettings.h"

#include "framework/global/nametable.h"

namespace laburnummill::framework {

namespace {

constexpr auto s_logLevelNames = NameTable<LogLevel, 4>{{
    {LogLevel::Debug, "debug"},
    {LogLevel::Info, "info"},
    {LogLevel::Warning, "warning"},
    {LogLevel::Error, "error"},
}};

constexpr auto s_schemaText = R"json({
  "type": "object",
  "additionalProperties": false,
  "required": ["host", "dataCentre", "callers", "operators", "peers"],
  "definitions": {
    "endpoint": { "type": "string", "pattern": "^[0-9.]+:[0-9]{1,5}$" },
    "milliseconds": { "type": "integer", "minimum": 1, "maximum": 86400000 },
    "count": { "type": "integer", "minimum": 1, "maximum": 1000000000 }
  },
  "properties": {
    "host": { "type": "string", "minLength": 1, "maxLength": 64 },
    "dataCentre": { "type": "string", "minLength": 1, "maxLength": 64 },
    "region": { "type": "string", "maxLength": 64 },
    "logLevel": { "enum": ["debug", "info", "warning", "error"] },
    "stopPatienceMs": { "$ref": "#/definitions/milliseconds" },
    "keyTrustMs": { "$ref": "#/definitions/milliseconds" },
    "bootstrapFile": { "type": "string" },
    "callers": {
      "type": "object",
      "additionalProperties": false,
      "required": ["listen"],
      "properties": {
        "listen": { "$ref": "#/definitions/endpoint" },
        "certificateFile": { "type": "string" },
        "privateKeyFile": { "type": "string" },
        "maxHeaderBytes": { "$ref": "#/definitions/count" },
        "maxBodyBytes": { "$ref": "#/definitions/count" },
        "maxConnections": { "$ref": "#/definitions/count" },
        "idleTimeoutMs": { "$ref": "#/definitions/milliseconds" },
        "receiveTimeoutMs": { "$ref": "#/definitions/milliseconds" },
        "sendTimeoutMs": { "$ref": "#/definitions/milliseconds" }
      },
      "dependencies": { "certificateFile": ["privateKeyFile"], "privateKeyFile": ["certificateFile"] }
    },
    "operators": {
      "type": "object",
      "additionalProperties": false,
      "required": ["listen"],
      "properties": {
        "listen": { "$ref": "#/definitions/endpoint" },
        "firstKeySha256": { "type": "string", "pattern": "^[0-9a-f]{64}$" }
      }
    },
    "peers": {
      "type": "object",
      "additionalProperties": false,
      "required": ["listen"],
      "properties": {
        "listen": { "$ref": "#/definitions/endpoint" },
        "advertise": { "$ref": "#/definitions/endpoint" },
        "seeds": { "type": "array", "items": { "$ref": "#/definitions/endpoint" } },
        "blocked": { "type": "array", "items": { "$ref": "#/definitions/endpoint" } }
      }
    },
    "platform": {
      "type": "object",
      "additionalProperties": false,
      "required": ["endpoint"],
      "properties": {
        "endpoint": { "$ref": "#/definitions/endpoint" },
        "timeoutMs": { "$ref": "#/definitions/milliseconds" }
      }
    }
  }
})json";

auto endpointAt(const Json& object, const char* key, const Endpoint& fallback = {}) -> Endpoint
{
    return object.contains(key) ? Endpoint::parse(stringAt(object, key)) : fallback;
}

auto endpointsAt(const Json& object, const char* key) -> std::vector<Endpoint>
{
    auto endpoints = std::vector<Endpoint>();
    for (const auto& text : object.value(key, Json::array())) {
        endpoints.push_back(Endpoint::parse(text.get<std::string>()));
    }
    return endpoints;
}

auto endpointTexts(const std::vector<Endpoint>& endpoints) -> Json
{
    auto texts = Json::array();
    for (const auto& endpoint : endpoints) {
        texts.push_back(endpoint.text());
    }
    return texts;
}

auto millisecondsAt(const Json& object, const char* key, Milliseconds fallback) -> Milliseconds
{
    return Milliseconds(integerAt(object, key, fallback.count()));
}

auto sizeAt(const Json& object, const char* key, std::size_t fallback) -> std::size_t
{
    return static_cast<std::size_t>(integerAt(object, key, static_cast<std::int64_t>(fallback)));
}

auto callersFromJson(const Json& object) -> CallersSettings
{
    auto callers = CallersSettings();
    callers.listen = endpointAt(object, "listen");
    if (object.contains("certificateFile")) {
        callers.tls = TlsFiles{stringAt(object, "certificateFile"), stringAt(object, "privateKeyFile")};
    }
    auto& limits = callers.limits;
    limits.headerBytes = sizeAt(object, "maxHeaderBytes", limits.headerBytes);
    limits.bodyBytes = sizeAt(object, "maxBodyBytes", limits.bodyBytes);
    limits.connections = sizeAt(object, "maxConnections", limits.connections);
    limits.idleTimeout = millisecondsAt(object, "idleTimeoutMs", limits.idleTimeout);
    limits.receiveTimeout = millisecondsAt(object, "receiveTimeoutMs", limits.receiveTimeout);
    limits.sendTimeout = millisecondsAt(object, "sendTimeoutMs", limits.sendTimeout);
    return callers;
}

auto callersToJson(const CallersSettings& callers) -> Json
{
    const auto& limits = callers.limits;
    auto document = Json{
        {"listen", callers.listen.text()},
        {"maxHeaderBytes", limits.headerBytes},
        {"maxBodyBytes", limits.bodyBytes},
        {"maxConnections", limits.connections},
        {"idleTimeoutMs", limits.idleTimeout.count()},
        {"receiveTimeoutMs", limits.receiveTimeout.count()},
        {"sendTimeoutMs", limits.sendTimeout.count()},
    };
    if (callers.tls) {
        document["certificateFile"] = callers.tls->certificate.string();
        document["privateKeyFile"] = callers.tls->privateKey.string();
    }
    return document;
}

} // namespace

auto daemonSettingsSchema() -> const Json&
{
    static const auto schema = Json::parse(s_schemaText);
    return schema;
}

auto daemonSettingsFromJson(const Json& document, DocumentFaults& faults) -> Result<DaemonSettings>
{
    faults = checkAgainstSchema(document, daemonSettingsSchema());
    if (!faults.empty()) {
        return SettingsError::Invalid;
    }
    auto settings = DaemonSettings();
    settings.host = stringAt(document, "host");
    settings.dataCentre = stringAt(document, "dataCentre");
    settings.region = stringAt(document, "region");
    settings.logLevel = valueOf(s_logLevelNames, stringAt(document, "logLevel", "info")).value_or(LogLevel::Info);
    settings.callers = callersFromJson(document["callers"]);
    settings.operators.listen = endpointAt(document["operators"], "listen");
    settings.operators.firstKeySha256 = stringAt(document["operators"], "firstKeySha256");
    settings.peers.listen = endpointAt(document["peers"], "listen");
    settings.peers.advertise = endpointAt(document["peers"], "advertise", settings.peers.listen);
    settings.peers.seeds = endpointsAt(document["peers"], "seeds");
    settings.peers.blocked = endpointsAt(document["peers"], "blocked");
    const auto platform = document.value("platform", Json::object());
    settings.platform.endpoint = endpointAt(platform, "endpoint");
    settings.platform.timeout = millisecondsAt(platform, "timeoutMs", settings.platform.timeout);
    settings.stopTimeout = millisecondsAt(document, "stopPatienceMs", settings.stopTimeout);
    settings.keyTrust = millisecondsAt(document, "keyTrustMs", settings.keyTrust);
    settings.bootstrapFile = stringAt(document, "bootstrapFile");
    return settings;
}

auto toJson(const DaemonSettings& settings) -> Json
{
    return {
        {"host", settings.host},
        {"dataCentre", settings.dataCentre},
        {"region", settings.region},
        {"logLevel", nameOf(s_logLevelNames, settings.logLevel)},
        {"callers", callersToJson(settings.callers)},
        {"operators", {{"listen", settings.operators.listen.text()}, {"firstKeySha256", settings.operators.firstKeySha256}}},
        {"peers",
         {{"listen", settings.peers.listen.text()},
          {"advertise", settings.peers.advertise.text()},
          {"seeds", endpointTexts(settings.peers.seeds)},
          {"blocked", endpointTexts(settings.peers.blocked)}}},
        {"platform", {{"endpoint", settings.platform.endpoint.text()}, {"timeoutMs", settings.platform.timeout.count()}}},
        {"stopPatienceMs", settings.stopTimeout.count()},
        {"keyTrustMs", settings.keyTrust.count()},
        {"bootstrapFile", settings.bootstrapFile},
    };
}

} // namespace laburnummill::framework
