#pragma once

#include "framework/global/nametable.h"

#include <optional>

namespace laburnummill::scheduling {

/// Why an answer that a host passes on from a backend server has ended. docs/design/endings.md says what each depends on.
enum class EndReason
{
    Whole,           ///< the server has ended it, and it is complete
    ServerBrokeOff,  ///< the server has ended it too early
    ServerTooSlow,   ///< given up for another server, which was not to be had
    DeadlineReached, ///< the caller's or the route's time limit
    CallerLeft,      ///< the caller has closed its connection
    CallerStalled,   ///< the caller reads nothing any more
    TokensUsedUp,    ///< the program's budget has no tokens for the rest
    TurnNotStored,   ///< the store has not taken the turn before the time limit
    AnswerTooLarge,  ///< larger than any answer may be
    HostFull,        ///< this host's memory is taken by others
};

inline constexpr auto s_endReasonNames = framework::NameTable<EndReason, 10>{{
    {EndReason::Whole, "whole"},
    {EndReason::ServerBrokeOff, "server_broke_off"},
    {EndReason::ServerTooSlow, "server_too_slow"},
    {EndReason::DeadlineReached, "deadline"},
    {EndReason::CallerLeft, "caller_left"},
    {EndReason::CallerStalled, "caller_stalled"},
    {EndReason::TokensUsedUp, "tokens_used_up"},
    {EndReason::TurnNotStored, "turn_not_stored"},
    {EndReason::AnswerTooLarge, "answer_too_large"},
    {EndReason::HostFull, "host_full"},
}};

/// Collects what may end an answer and decides on the reason that is reported. Performs no I/O.
///
/// A silent server is no reason by itself: only a time limit that was fixed when the request arrived, the caller, or the server ends the
/// answer. A change of the configuration does not concern requests that have arrived before.
class AnswerEnding
{
public:
    /// Notes a reason. The first one that concerns the caller or this host counts; what the server does afterwards is its consequence.
    auto note(EndReason reason) -> void;

    auto reason() const -> EndReason { return m_reason.value_or(EndReason::Whole); }

private:
    std::optional<EndReason> m_reason;
};

} // namespace laburnummill::scheduling
