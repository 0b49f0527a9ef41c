#include "serving/serverlimitlog.h"

#include "framework/logging/log.h"

namespace laburnummill::serving {

using framework::Instant;
using framework::Json;

auto limitToJson(const std::optional<backends::RateStatement>& limit, Instant now) -> Json
{
    if (!limit) {
        return nullptr;
    }
    const auto age = std::chrono::duration_cast<framework::Milliseconds>(now - limit->statedAt);
    return {{"perSecond", limit->perSecond},
            {"source", framework::nameOf(backends::s_limitSourceNames, limit->source)},
            {"ageMs", age.count()}};
}

auto logLimitChange(const backends::Backend& backend, const std::optional<backends::RateStatement>& before, Instant now) -> void
{
    const auto after = backend.limit->current(now);
    if (before.has_value() == after.has_value() && (!after || backends::isSameRate(before->perSecond, after->perSecond))) {
        return;
    }
    framework::logEvent(framework::LogLevel::Info, "serving", after ? "server_limited" : "server_limit_ended",
                        {{"server", backend.entry.id},
                         {"startedAt", backend.entry.startedAt},
                         {"limit", limitToJson(after, now)},
                         {"before", limitToJson(before, now)}});
}

} // namespace laburnummill::serving
