#pragma once

#include "framework/global/time.h"
#include "scheduling/internal/dispatchertypes.h"
#include "scheduling/ischeduler.h"
#include "scheduling/schedulingmessages.pb.h"

namespace laburnummill::scheduling {

/// The number that identifies a holder in permit keys: a hash of its host and incarnation.
auto holderOf(const std::string& host, std::uint64_t incarnation) -> std::uint64_t;

/// Messages carry the remaining time instead of deadlines, because clocks of different hosts are not comparable.
auto toMessage(const ScheduledCall& call, framework::Instant now) -> NeedMessage;
auto callOf(const NeedMessage& message, std::uint64_t holder, framework::Instant now) -> ScheduledCall;

auto toMessage(const OpenPermit& permit, std::uint64_t fencing, framework::Instant now) -> PermitMessage;
auto permitOf(const PermitMessage& message, std::uint64_t holder, framework::Instant now) -> OpenPermit;

auto toMessage(std::uint64_t number, const PermitUse& use) -> ReleaseMessage;
auto useOf(const ReleaseMessage& message) -> PermitUse;

/// The message that reports an action to its executor.
auto toMessage(const Action& action, std::uint64_t fencing, framework::Instant now) -> ToExecutor;

/// The key of the call that an action responds to.
auto keyOf(const Action& action) -> const PermitKey&;

} // namespace laburnummill::scheduling
