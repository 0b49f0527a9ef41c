#pragma once

#include "framework/http/httpserver.h"
#include "framework/logging/log.h"
#include "framework/settings/jsonschema.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnummill::framework {

/// The callers' side of a daemon.
struct CallersSettings
{
    Endpoint listen;
    std::optional<TlsFiles> tls;
    HttpServerLimits limits;
};

/// The operators' side of a daemon.
struct OperatorsSettings
{
    Endpoint listen;
    std::string firstKeySha256; ///< an administrator's key, so that the first keys can be given
};

/// The peers' side of a daemon.
struct PeersSettings
{
    Endpoint listen;
    Endpoint advertise;            ///< under which the peers reach this daemon
    std::vector<Endpoint> seeds;   ///< peers to ask first, own data centre and others
    std::vector<Endpoint> blocked; ///< peers never talked to, for drills of a network partition
};

/// How the platform is reached.
struct PlatformSettings
{
    Endpoint endpoint;
    Milliseconds timeout{2'000};
};

/// Everything that a daemon learns from its settings file.
struct DaemonSettings
{
    std::string host;
    std::string dataCentre;
    std::string region;
    LogLevel logLevel = LogLevel::Info;
    CallersSettings callers;
    OperatorsSettings operators;
    PeersSettings peers;
    PlatformSettings platform;
    Milliseconds stopTimeout{30'000};
    Milliseconds keyTrust{3'600'000}; ///< callers' keys are trusted so long after the last contact with the outside
    std::string bootstrapFile;        ///< configuration and keys for the embedded platform
};

/// The schema of the settings file.
auto daemonSettingsSchema() -> const Json&;

/// Reads settings from `document`; faults are added to `faults`.
auto daemonSettingsFromJson(const Json& document, DocumentFaults& faults) -> Result<DaemonSettings>;

/// The settings in force, defaults included.
auto toJson(const DaemonSettings& settings) -> Json;

} // namespace laburnummill::framework
