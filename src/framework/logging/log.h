#pragma once

#include "framework/global/json.h"

#include <memory>
#include <string_view>

namespace spdlog::sinks {
class sink; // NOLINT(readability-identifier-naming): the library's name
} // namespace spdlog::sinks

namespace laburnummill::framework {

enum class LogLevel
{
    Debug,
    Info,
    Warning,
    Error,
};

/// Sends log lines to standard error, one JSON object a line, from `level` up.
auto startLogging(std::string_view daemonName, LogLevel level) -> void;

/// The same with another destination.
auto useLogSink(std::string_view daemonName, LogLevel level, std::shared_ptr<spdlog::sinks::sink> sink) -> void;

/// Logs a change of state: the module, the event's stable name and its fields. Never keys, never message texts.
auto logEvent(LogLevel level, std::string_view module, std::string_view event, Json fields = Json::object()) -> void;

} // namespace laburnummill::framework
