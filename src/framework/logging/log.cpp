#include "framework/logging/log.h"

#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

namespace laburnummill::framework {

namespace {

auto spdlogLevel(LogLevel level) -> spdlog::level::level_enum
{
    switch (level) {
    case LogLevel::Debug:
        return spdlog::level::debug;
    case LogLevel::Info:
        return spdlog::level::info;
    case LogLevel::Warning:
        return spdlog::level::warn;
    case LogLevel::Error:
        return spdlog::level::err;
    }
    return spdlog::level::info;
}

} // namespace

auto startLogging(std::string_view daemonName, LogLevel level) -> void
{
    useLogSink(daemonName, level, std::make_shared<spdlog::sinks::stderr_sink_mt>());
}

auto useLogSink(std::string_view daemonName, LogLevel level, std::shared_ptr<spdlog::sinks::sink> sink) -> void
{
    auto logger = std::make_shared<spdlog::logger>(std::string(daemonName), std::move(sink));
    logger->set_pattern(R"({"time":"%Y-%m-%dT%H:%M:%S.%eZ","level":"%l","daemon":"%n",%v})", spdlog::pattern_time_type::utc);
    logger->set_level(spdlogLevel(level));
    spdlog::set_default_logger(std::move(logger));
}

auto logEvent(LogLevel level, std::string_view module, std::string_view event, Json fields) -> void
{
    if (!spdlog::should_log(spdlogLevel(level))) {
        return;
    }
    fields["module"] = module;
    fields["event"] = event;
    const auto text = dumpJson(fields);
    spdlog::log(spdlogLevel(level), "{}", std::string_view(text).substr(1, text.size() - 2));
}

} // namespace laburnummill::framework
