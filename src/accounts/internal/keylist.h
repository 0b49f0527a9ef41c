#pragma once

#include "accounts/ikeys.h"
#include "framework/global/json.h"

#include <vector>

namespace laburnummill::accounts {

/// A version of the key list: either the whole list or the entries changed since an earlier version.
struct KeyList
{
    std::uint64_t version = 0;
    std::uint64_t since = 0; ///< the earlier version; 0 if this is the whole list
    std::vector<KeyEntry> entries;
};

auto keyListFromJson(const framework::Json& document) -> KeyList;
auto toJson(const KeyList& list) -> framework::Json;

} // namespace laburnummill::accounts
