#include "serving/serverleavelog.h"

#include "framework/logging/log.h"

namespace laburnummill::serving {

using framework::Instant;
using framework::Json;

auto leaveToJson(const backends::ServerLeave& leave, Instant now) -> Json
{
    if (!leave.isLeaving()) {
        return nullptr;
    }
    const auto age = std::chrono::duration_cast<framework::Milliseconds>(now - leave.since());
    return {{"source", framework::nameOf(backends::s_leaveSourceNames, *leave.source())}, {"ageMs", age.count()}};
}

auto logLeaveChange(const backends::Backend& backend, bool wasLeaving, Instant now) -> void
{
    if (backend.leave->isLeaving() == wasLeaving) {
        return;
    }
    framework::logEvent(
        framework::LogLevel::Info, "serving", wasLeaving ? "server_ready_again" : "server_leaving",
        {{"server", backend.entry.id}, {"startedAt", backend.entry.startedAt}, {"leave", leaveToJson(*backend.leave, now)}});
}

} // namespace laburnummill::serving
