#pragma once

#include <algorithm>
#include <array>
#include <cstddef>
#include <optional>
#include <string_view>
#include <utility>

namespace laburnummill::framework {

/// Names of an enumeration's values, as they stand in settings, messages and logs.
template<class Enum, std::size_t Size>
using NameTable = std::array<std::pair<Enum, std::string_view>, Size>;

/// The name of `value`, or "unknown" where the table lacks it.
template<class Enum, std::size_t Size>
constexpr auto nameOf(const NameTable<Enum, Size>& table, Enum value) -> std::string_view
{
    for (const auto& [entry, name] : table) {
        if (entry == value) {
            return name;
        }
    }
    return "unknown";
}

/// The value called `name`, if there is one.
template<class Enum, std::size_t Size>
constexpr auto valueOf(const NameTable<Enum, Size>& table, std::string_view name) -> std::optional<Enum>
{
    for (const auto& [entry, entryName] : table) {
        if (entryName == name) {
            return entry;
        }
    }
    return std::nullopt;
}

} // namespace laburnummill::framework
