#pragma once

#include "framework/global/nametable.h"

namespace laburnummill::serving {

/// Why a request gets an answer of our own.
enum class Refusal
{
    NoConfiguration,
    UnknownRoute,
    UnknownKey,
    NoRequestId,
    RateLimited,
    BudgetSpent,
    NoSuchTurn,
    TurnUnknown,   ///< whether the turn exists cannot be told now
    BudgetUnknown, ///< whether the budget holds one more turn cannot be told now
    NoServer,      ///< no backend server may take it
    ServersFull,
    TooLate,          ///< it cannot be answered in the time that it has
    Quarantined,      ///< it crashed the servers that ran it
    StoreUnreachable, ///< no more turns can be kept
    Isolated,         ///< another data centre can serve it better
    NotRun,           ///< every server that was tried said that it did not run it
    Lost,             ///< it may have run, its answer is lost
    TimedOut,         ///< it may have run, no answer in time
    TimedOutUnsent,   ///< surely not run, no answer in time
    BadRequest,
};

/// Status of the answer to `refusal`; 429, 402, 404 and 503 say that the request was not run.
auto statusOf(Refusal refusal) -> unsigned;

inline constexpr auto s_refusalNames = framework::NameTable<Refusal, 20>{{
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
    {Refusal::TooLate, "too_late"},
    {Refusal::Quarantined, "quarantined"},
    {Refusal::StoreUnreachable, "store_away"},
    {Refusal::Isolated, "isolated"},
    {Refusal::NotRun, "not_run"},
    {Refusal::Lost, "lost"},
    {Refusal::TimedOut, "timed_out"},
    {Refusal::TimedOutUnsent, "timed_out_unsent"},
    {Refusal::BadRequest, "bad_request"},
}};

} // namespace laburnummill::serving
