#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace laburnummill::programs {

/// Tells whether this host may currently act for a program.
class ILeases
{
public:
    virtual ~ILeases() = default;

    /// The fencing number to act under; nullopt if this host is not the owner or its lease has expired.
    virtual auto fencingOf(const std::string& program) const -> std::optional<std::uint64_t> = 0;
};

} // namespace laburnummill::programs
