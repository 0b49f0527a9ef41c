#include "accounts/internal/keylist.h"

namespace laburnummill::accounts {

using framework::Json;

auto keyListFromJson(const Json& document) -> KeyList
{
    auto list = KeyList();
    list.version = static_cast<std::uint64_t>(framework::integerAt(document, "version"));
    list.since = static_cast<std::uint64_t>(framework::integerAt(document, "since"));
    if (!document.is_object()) {
        return list;
    }
    for (const auto& entry : document.value("keys", Json::array())) {
        list.entries.push_back({framework::stringAt(entry, "keyHash"), framework::stringAt(entry, "account"),
                                static_cast<std::uint64_t>(framework::integerAt(entry, "version")), framework::boolAt(entry, "withdrawn")});
    }
    return list;
}

auto toJson(const KeyList& list) -> Json
{
    auto keys = Json::array();
    for (const auto& entry : list.entries) {
        keys.push_back(
            {{"keyHash", entry.keyHash}, {"account", entry.account}, {"version", entry.version}, {"withdrawn", entry.withdrawn}});
    }
    return {{"version", list.version}, {"since", list.since}, {"keys", std::move(keys)}};
}

} // namespace laburnummill::accounts
