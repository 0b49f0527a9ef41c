#pragma once

#include "framework/global/nametable.h"
#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <string>

namespace laburnummill::rollouts {

/// An operator's order to move a service's requests to servers of another version.
struct RolloutOrder
{
    std::string service;
    std::string version;                 ///< to which the requests are moved
    framework::Milliseconds duration{0}; ///< in which the rollout should end
    std::uint64_t number = 0;            ///< of the order: the store's version of its row; a later order has a higher one
    bool isWithdrawn = false;            ///< the operator has removed the row

    auto operator==(const RolloutOrder&) const -> bool = default;
};

/// How far a rollout has come. Stages only move forward; the last two are final.
enum class RolloutStage
{
    Waiting,    ///< for servers of the new version that are warm
    Canary,     ///< a small share of the programs, on as many servers as carry their usual load with it
    Raised,     ///< a larger share on all servers
    Full,       ///< all requests; those in progress at the old version end
    Done,       ///< the servers of the old version may be stopped
    RolledBack, ///< the new version gets no requests
};

inline constexpr auto s_rolloutStageNames = framework::NameTable<RolloutStage, 6>{{
    {RolloutStage::Waiting, "waiting"},
    {RolloutStage::Canary, "canary"},
    {RolloutStage::Raised, "raised"},
    {RolloutStage::Full, "full"},
    {RolloutStage::Done, "done"},
    {RolloutStage::RolledBack, "rolled_back"},
}};

constexpr auto isFinal(RolloutStage stage) -> bool
{
    return stage == RolloutStage::Done || stage == RolloutStage::RolledBack;
}

/// Why a rollout has moved to a stage.
enum class RolloutReason
{
    Ordered,
    ServersReady,
    EvidenceGood, ///< enough responses without a sign of a fault
    TimeShort,    ///< the time limit leaves no room to wait for more responses
    OldVersionIdle,
    EvidenceBad,    ///< the new version fails or is slow
    NoServers,      ///< no server of the version has appeared
    InvalidOrder,   ///< the service does not exist, or the order leaves no time
    Withdrawn,      ///< the operator has removed the order
    AlreadyServing, ///< the ordered version is the one that serves
};

inline constexpr auto s_rolloutReasonNames = framework::NameTable<RolloutReason, 10>{{
    {RolloutReason::Ordered, "ordered"},
    {RolloutReason::ServersReady, "servers_ready"},
    {RolloutReason::EvidenceGood, "evidence_good"},
    {RolloutReason::TimeShort, "time_short"},
    {RolloutReason::OldVersionIdle, "old_version_idle"},
    {RolloutReason::EvidenceBad, "evidence_bad"},
    {RolloutReason::NoServers, "no_servers"},
    {RolloutReason::InvalidOrder, "invalid_order"},
    {RolloutReason::Withdrawn, "withdrawn"},
    {RolloutReason::AlreadyServing, "already_serving"},
}};

/// The state of a rollout as it lies in the store.
struct RolloutProgress
{
    std::uint64_t order = 0; ///< number of the order
    std::string version;
    RolloutStage stage = RolloutStage::Waiting;
    RolloutReason reason = RolloutReason::Ordered;
    std::uint64_t rowVersion = 0;             ///< of the row in the store; the highest known one is valid
    std::optional<std::string> formerVersion; ///< that served before the order; nullopt if the host that wrote the row knew no server
    framework::Milliseconds duration{0};      ///< ordered
    std::int64_t startedAt = 0;               ///< when the first stage was written, in Unix milliseconds
    std::uint64_t refusedOrder = 0;           ///< number of the last order that was refused because this one was in progress
    std::string refusedVersion;               ///< to which that order was to move the requests

    auto operator==(const RolloutProgress&) const -> bool = default;
};

/// What the operator is told of a rollout.
struct RolloutStatus
{
    std::string service;
    std::string version;
    RolloutStage stage = RolloutStage::Waiting;
    RolloutReason reason = RolloutReason::Ordered;
    std::string refusedVersion;   ///< of a second order that came while this rollout was in progress
    bool hasRefusedOrder = false; ///< there was one
};

/// Share of a service's programs that use the new version at a stage.
auto shareOf(RolloutStage stage) -> double;

} // namespace laburnummill::rollouts
