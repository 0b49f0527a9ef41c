#pragma once

#include "framework/global/nametable.h"

namespace laburnummill::serving {

/// Reasons for which a host itself responds to a request instead of a backend server.
enum class Refusal
{
    NoConfiguration,
    UnknownRoute,
    UnknownKey,
    NoRequestId,
    RateLimited,
    BudgetSpent,
    NoSuchTurn,
    TurnUnknown,   ///< it cannot be determined now whether the turn exists
    BudgetUnknown, ///< it cannot be determined now whether the budget suffices for another turn
    NoServer,      ///< no backend server is available
    ServersFull,
    ServersLimited,   ///< the servers accept no more requests of this host in time, by the limits that they state
    TooLate,          ///< it cannot be answered before its deadline
    Quarantined,      ///< it repeatedly crashed servers that ran it
    StoreUnreachable, ///< no more unwritten turns can be held, or a slow store would not take the turn in time
    Stopping,         ///< this host is stopping and would end before the request's deadline
    CutOff,           ///< this host is cut off from the store, which other hosts reach
    Isolated,         ///< this host is isolated; a host of another data centre should serve the request
    NotRun,           ///< every server that was tried stated that it did not run it
    Lost,             ///< it may have run, but its response is lost
    TimedOut,         ///< it may have run, but did not complete before the deadline
    TimedOutUnsent,   ///< not run before the deadline
    BadRequest,
    BadTurnId,    ///< the id of the turn, its program or the turn that it continues cannot be kept
    TurnTooLarge, ///< the turn, or its history with it, cannot be kept
    HostFull,     ///< this host has no memory for it
    NotResumable, ///< it asks to continue a stream on a route whose streams cannot be continued
};

/// HTTP status of the response to `refusal`. 429, 402, 404 and 503 mean that the request was not run.
auto statusOf(Refusal refusal) -> unsigned;

inline constexpr auto s_refusalNames = framework::NameTable<Refusal, 27>{{
    {Refusal::NoConfiguration, "no_configuration"},
    {Refusal::UnknownRoute, "unknown_route"},
    {Refusal::UnknownKey, "unknown_key"},
    {Refusal::NoRequestId, "no_request_id"},
    {Refusal::RateLimited, "rate_limited"},
    {Refusal::BudgetSpent, "budget_spent"},
    {Refusal::NoSuchTurn, "no_such_turn"},
    {Refusal::TurnUnknown, "turn_unknown"},
    {Refusal::BudgetUnknown, "budget_unknown"},
    {Refusal::NoServer, "no_server"},
    {Refusal::ServersFull, "servers_full"},
    {Refusal::ServersLimited, "servers_limited"},
    {Refusal::TooLate, "too_late"},
    {Refusal::Quarantined, "quarantined"},
    {Refusal::StoreUnreachable, "store_away"},
    {Refusal::Stopping, "stopping"},
    {Refusal::CutOff, "cut_off"},
    {Refusal::Isolated, "isolated"},
    {Refusal::NotRun, "not_run"},
    {Refusal::Lost, "lost"},
    {Refusal::TimedOut, "timed_out"},
    {Refusal::TimedOutUnsent, "timed_out_unsent"},
    {Refusal::BadRequest, "bad_request"},
    {Refusal::BadTurnId, "bad_turn_id"},
    {Refusal::TurnTooLarge, "turn_too_large"},
    {Refusal::HostFull, "host_full"},
    {Refusal::NotResumable, "not_resumable"},
}};

} // namespace laburnummill::serving
