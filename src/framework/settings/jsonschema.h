#pragma once

#include "framework/global/json.h"
#include "framework/global/result.h"
#include "framework/settings/settingserrors.h"

#include <filesystem>

namespace laburnummill::framework {

/// Checks `document` against a JSON schema (draft 7); every fault with its JSON pointer, none where it is valid.
auto checkAgainstSchema(const Json& document, const Json& schema) -> DocumentFaults;

/// Reads a JSON file.
auto readJsonFile(const std::filesystem::path& path) -> Result<Json>;

} // namespace laburnummill::framework
