#pragma once

#include "backends/backendregistry.h"
#include "framework/global/json.h"

namespace laburnummill::serving {

/// Source and age of the knowledge that a server leaves; null if it is not known to leave.
auto leaveToJson(const backends::ServerLeave& leave, framework::Instant now) -> framework::Json;

/// Logs if the server became known to leave, or is ready again by its report, since `wasLeaving` was read.
auto logLeaveChange(const backends::Backend& backend, bool wasLeaving, framework::Instant now) -> void;

} // namespace laburnummill::serving
