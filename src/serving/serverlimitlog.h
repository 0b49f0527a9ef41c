#pragma once

#include "backends/backendregistry.h"
#include "framework/global/json.h"

namespace laburnummill::serving {

/// JSON form of the limit that holds for a server, for logs and dumps; null if there is none.
auto limitToJson(const std::optional<backends::RateStatement>& limit, framework::Instant now) -> framework::Json;

/// Logs that a server's limit began, changed or ended; `before` is the limit that held before the change.
auto logLimitChange(const backends::Backend& backend, const std::optional<backends::RateStatement>& before, framework::Instant now) -> void;

} // namespace laburnummill::serving
