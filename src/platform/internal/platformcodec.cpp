#include "platform/internal/platformcodec.h"

#include "framework/global/nametable.h"

namespace laburnummill::platform {

namespace {

using framework::integerAt;
using framework::Json;
using framework::stringAt;

constexpr auto s_hostStateNames = framework::NameTable<HostState, 2>{{
    {HostState::Live, "live"},
    {HostState::Leaving, "leaving"},
}};

auto keyToJson(const RowKey& key) -> Json
{
    return {{"table", key.table}, {"key", key.key}};
}

auto keyFromJson(const Json& document) -> RowKey
{
    return {stringAt(document, "table"), stringAt(document, "key")};
}

auto changeFromJson(const Json& document) -> RowChange
{
    auto change = RowChange{keyFromJson(document), std::nullopt, std::nullopt};
    if (document.contains("expected")) {
        change.expected = static_cast<std::uint64_t>(integerAt(document, "expected"));
    }
    if (document.contains("value")) {
        change.value = stringAt(document, "value");
    }
    return change;
}

template<class Item, class Read>
auto listFromJson(const Json& document, Read read) -> std::vector<Item>
{
    auto items = std::vector<Item>();
    if (document.is_array()) {
        for (const auto& entry : document) {
            items.push_back(read(entry));
        }
    }
    return items;
}

} // namespace

auto keysToJson(const std::vector<RowKey>& keys) -> Json
{
    auto document = Json::array();
    for (const auto& key : keys) {
        document.push_back(keyToJson(key));
    }
    return document;
}

auto keysFromJson(const Json& document) -> std::vector<RowKey>
{
    return listFromJson<RowKey>(document, keyFromJson);
}

auto changesToJson(const std::vector<RowChange>& changes) -> Json
{
    auto document = Json::array();
    for (const auto& change : changes) {
        auto entry = keyToJson(change.key);
        if (change.expected) {
            entry["expected"] = *change.expected;
        }
        if (change.value) {
            entry["value"] = *change.value;
        }
        document.push_back(std::move(entry));
    }
    return document;
}

auto changesFromJson(const Json& document) -> std::vector<RowChange>
{
    return listFromJson<RowChange>(document, changeFromJson);
}

auto rowToJson(const std::optional<Row>& row) -> Json
{
    if (!row) {
        return nullptr;
    }
    auto document = keyToJson(row->key);
    document["value"] = row->value;
    document["version"] = row->version;
    return document;
}

auto rowFromJson(const Json& document) -> std::optional<Row>
{
    if (!document.is_object()) {
        return std::nullopt;
    }
    return Row{keyFromJson(document), stringAt(document, "value"), static_cast<std::uint64_t>(integerAt(document, "version"))};
}

auto hostsToJson(const std::vector<HostEntry>& hosts) -> Json
{
    auto document = Json::array();
    for (const auto& entry : hosts) {
        document.push_back(
            {{"host", entry.host}, {"dataCentre", entry.dataCentre}, {"state", framework::nameOf(s_hostStateNames, entry.state)}});
    }
    return document;
}

auto hostsFromJson(const Json& document) -> std::vector<HostEntry>
{
    return listFromJson<HostEntry>(document, [](const Json& entry) {
        const auto state = framework::valueOf(s_hostStateNames, stringAt(entry, "state")).value_or(HostState::Live);
        return HostEntry{stringAt(entry, "host"), stringAt(entry, "dataCentre"), state};
    });
}

} // namespace laburnummill::platform
