#pragma once

#include "framework/global/json.h"

#include <array>
#include <cstdint>

namespace laburnummill::coordination {

/// Conditions that are checked in every build. A violation is counted, and the operation is refused.
enum class Invariant
{
    ViewNumberRises,
    OneContentPerView,
    LeaseBounded,         ///< a lease ends no later than its duration from now
    FencedWithoutPromise, ///< a member is fenced only after its promise has ended
};

/// Counts failed checks by invariant.
class Invariants
{
public:
    /// Returns `holds` and counts a violation if it is false.
    auto check(Invariant invariant, bool holds) -> bool;

    auto violations() const -> std::uint64_t;
    auto toJson() const -> framework::Json;

private:
    std::array<std::uint64_t, 4> m_violations{};
};

} // namespace laburnummill::coordination
