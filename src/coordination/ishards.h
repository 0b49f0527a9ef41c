#pragma once

#include "coordination/coordinationerrors.h"
#include "coordination/coordinationtypes.h"
#include "framework/global/result.h"

#include <functional>
#include <string_view>
#include <vector>

namespace laburnummill::coordination {

/// Ownership of shards. It is derived from the current view and lease at each call and never cached.
class IShards
{
public:
    static constexpr std::string_view s_serviceName = "coordination.shards";

    virtual ~IShards() = default;

    /// The member that owns `shard` according to the view that this host has; the view may be outdated.
    /// Fails with NoView or DataCentreUnknown without a view, and with DataCentreCutOff if all members are fenced.
    virtual auto ownerOf(const ShardKey& shard) const -> framework::Result<Ownership> = 0;

    /// The fencing number under which this host may act for `shard` now. Fails with LeaseExpired, NotOwner or StaleView, or with
    /// an error of ownerOf(). The result can become invalid at any time: call this again immediately before each send.
    virtual auto mayAct(const ShardKey& shard) const -> framework::Result<std::uint64_t> = 0;
};

/// Members of the data centres.
class IMembership
{
public:
    static constexpr std::string_view s_serviceName = "coordination.membership";

    virtual ~IMembership() = default;

    virtual auto self() const -> const Member& = 0;

    /// Members in the latest known view of the data centre; empty if no view is known.
    virtual auto members(std::string_view dataCentre) const -> std::vector<Member> = 0;

    virtual auto dataCentres() const -> std::vector<std::string> = 0;

    /// True if the latest known view of some data centre contains the member and, in this host's data centre, it is not fenced.
    /// False for members that failed or were replaced by a new incarnation, and for unknown ones.
    virtual auto isAlive(const MemberId& member) const -> bool = 0;

    /// True once this host has held a lease with all earlier views settled. It can serve callers from then on.
    virtual auto hasJoined() const -> bool = 0;

    /// Registers a handler that is called after each change of views or fenced members.
    virtual auto onChange(std::function<void()> handler) -> void = 0;
};

} // namespace laburnummill::coordination
