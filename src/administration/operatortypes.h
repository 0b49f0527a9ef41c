#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::administration {

/// Permissions of an operator, in ascending order: each role includes those of the roles before it.
enum class OperatorRole
{
    Viewer,        ///< read-only
    Operator,      ///< may change keys, drains, call outcomes and the quarantine, and stop hosts
    Administrator, ///< may change the configuration and operators
};

auto roleName(OperatorRole role) -> std::string_view;
auto roleFromName(std::string_view name) -> std::optional<OperatorRole>;

/// An operator, identified by the hash of the operator key.
struct OperatorEntry
{
    std::string keyHash;
    std::string name;
    OperatorRole role = OperatorRole::Viewer;
    std::string team; ///< limits access to the accounts of this team; empty for access to all

    auto operator==(const OperatorEntry&) const -> bool = default;
};

} // namespace laburnummill::administration
