#pragma once

#include "framework/global/nametable.h"
#include "peers/fleetmessages.pb.h"

namespace laburnummill::peers {

/// What a host calls another one for.
enum class RequestPurpose
{
    Unknown,
    StoreCall,       ///< a call to the store through the other host
    GroupedWrite,    ///< a write that the other host joins with those of further hosts
    Changes,         ///< configuration or backend servers
    Turns,           ///< turns of programs, from memory
    KeptTurns,       ///< turns to be kept until the store is back
    TurnTokens,      ///< a running turn's tokens
    TokensInAdvance, ///< the next turn's tokens
    FreeTokens,      ///< tokens that the other host does not need, and what it has granted
    Support,         ///< support for grants without the store
    ProgramKnown,    ///< whether the other host knows a program
    EndedTurn,       ///< a turn that has ended, and its unused tokens
    Relay,           ///< a connection to a backend server
};

inline constexpr auto s_requestPurposeNames = framework::NameTable<RequestPurpose, 13>{{
    {RequestPurpose::Unknown, "unknown"},
    {RequestPurpose::StoreCall, "store_call"},
    {RequestPurpose::GroupedWrite, "grouped_write"},
    {RequestPurpose::Changes, "changes"},
    {RequestPurpose::Turns, "turns"},
    {RequestPurpose::KeptTurns, "kept_turns"},
    {RequestPurpose::TurnTokens, "turn_tokens"},
    {RequestPurpose::TokensInAdvance, "tokens_in_advance"},
    {RequestPurpose::FreeTokens, "free_tokens"},
    {RequestPurpose::Support, "support"},
    {RequestPurpose::ProgramKnown, "program_known"},
    {RequestPurpose::EndedTurn, "ended_turn"},
    {RequestPurpose::Relay, "relay"},
}};

auto purposeOf(const messages::Request& request) -> RequestPurpose;

} // namespace laburnummill::peers
