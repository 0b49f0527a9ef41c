#pragma once

#include "framework/global/nametable.h"

namespace laburnummill::programs {

/// Which hosts an outage of the store concerns, as far as this host can tell.
enum class OutageScope
{
    Undecided, ///< maybe all hosts
    CutOff,    ///< this host, maybe with others, is cut off from hosts that reached the store when they were last heard
};

inline constexpr auto s_outageScopeNames = framework::NameTable<OutageScope, 2>{{
    {OutageScope::Undecided, "undecided"},
    {OutageScope::CutOff, "cut_off"},
}};

/// Tells which hosts an outage of the store concerns that this host notices.
class IOutageScope
{
public:
    virtual ~IOutageScope() = default;

    virtual auto outageScope() const -> OutageScope = 0;

    /// Whether some other host may reach the store; false if all have lately said that they do not.
    virtual auto mayOthersReachStore() const -> bool = 0;
};

} // namespace laburnummill::programs
