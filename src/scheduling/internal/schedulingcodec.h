#pragma once

#include "framework/global/time.h"
#include "scheduling/internal/dispatchertypes.h"
#include "scheduling/ischeduler.h"
#include "scheduling/schedulingmessages.pb.h"

namespace laburnummill::scheduling {

/// The holder's number in permit keys: a hash of its host and incarnation.
auto holderOf(const std::string& host, std::uint64_t incarnation) -> std::uint64_t;

/// Deadlines cross as patience: clocks of hosts are never compared.
auto toMessage(const ScheduledCall& call, framework::Instant now) -> NeedMessage;
auto callOf(const NeedMessage& message, std::uint64_t holder, framework::Instant now) -> ScheduledCall;

auto toMessage(const OpenPermit& permit, std::uint64_t fencing, framework::Instant now) -> PermitMessage;
auto permitOf(const PermitMessage& message, std::uint64_t holder, framework::Instant now) -> OpenPermit;

auto toMessage(std::uint64_t number, const PermitUse& use) -> ReleaseMessage;
auto useOf(const ReleaseMessage& message) -> PermitUse;

/// An action as its executor is told of it.
auto toMessage(const Action& action, std::uint64_t fencing, framework::Instant now) -> ToExecutor;

/// The request that an action answers.
auto keyOf(const Action& action) -> const PermitKey&;

} // namespace laburnummill::scheduling
