#pragma once

#include "configuration/configurationtypes.h"
#include "framework/global/json.h"
#include "framework/global/result.h"
#include "framework/settings/settingserrors.h"

namespace laburnummill::configuration {

/// The JSON schema of a configuration document.
auto configurationSchema() -> const framework::Json&;

/// Parses a document. Returns Invalid if it does not match the schema or, checked after that, has duplicate names or references
/// to unknown names; `faults` then lists every fault found.
auto configurationFromJson(const framework::Json& document, framework::DocumentFaults& faults) -> framework::Result<Configuration>;

auto toJson(const Configuration& configuration) -> framework::Json;

} // namespace laburnummill::configuration
