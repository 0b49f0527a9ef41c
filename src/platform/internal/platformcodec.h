#pragma once

#include "framework/global/json.h"
#include "framework/global/result.h"
#include "platform/platformtypes.h"

namespace laburnummill::platform {

/// JSON of the table service's messages, used by the adapter and by the stand-in.
auto keysToJson(const std::vector<RowKey>& keys) -> framework::Json;
auto keysFromJson(const framework::Json& document) -> std::vector<RowKey>;

auto changesToJson(const std::vector<RowChange>& changes) -> framework::Json;
auto changesFromJson(const framework::Json& document) -> std::vector<RowChange>;

auto rowToJson(const std::optional<Row>& row) -> framework::Json;
auto rowFromJson(const framework::Json& document) -> std::optional<Row>;

auto hostsToJson(const std::vector<HostEntry>& hosts) -> framework::Json;
auto hostsFromJson(const framework::Json& document) -> std::vector<HostEntry>;

} // namespace laburnummill::platform
