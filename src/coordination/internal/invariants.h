#pragma once

#include "framework/global/json.h"

#include <array>
#include <cstdint>

namespace laburnummill::coordination {

/// What must hold in every build; a violation refuses the act and is counted.
enum class Invariant
{
    ViewNumberRises,
    OneContentPerView,
    LeaseBounded,         ///< no lease reaches further than its duration from now
    FencedWithoutPromise, ///< a member is never fenced while its promise runs
};

/// Counts checks that failed.
class Invariants
{
public:
    /// `holds`, counted where it is false.
    auto check(Invariant invariant, bool holds) -> bool;

    auto violations() const -> std::uint64_t;
    auto toJson() const -> framework::Json;

private:
    std::array<std::uint64_t, 4> m_violations{};
};

} // namespace laburnummill::coordination
