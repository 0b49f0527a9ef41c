#include "peers/requestpurpose.h"

namespace laburnummill::peers {

namespace {

auto purposeOf(const messages::GrantQuery& query) -> RequestPurpose
{
    if (!query.grantor().empty()) {
        return RequestPurpose::Support;
    }
    if (query.may_take_more()) {
        return RequestPurpose::TurnTokens;
    }
    if (!query.holder().empty()) {
        return RequestPurpose::TokensInAdvance;
    }
    return query.tokens() > 0 ? RequestPurpose::FreeTokens : RequestPurpose::ProgramKnown;
}

} // namespace

auto purposeOf(const messages::Request& request) -> RequestPurpose
{
    switch (request.body_case()) {
    case messages::Request::kTransaction:
        return request.transaction().is_grouped() ? RequestPurpose::GroupedWrite : RequestPurpose::StoreCall;
    case messages::Request::kListing:
        return RequestPurpose::StoreCall;
    case messages::Request::kChanges:
        return RequestPurpose::Changes;
    case messages::Request::kTurnQuery:
        return RequestPurpose::Turns;
    case messages::Request::kKeptTurns:
        return RequestPurpose::KeptTurns;
    case messages::Request::kGrantQuery:
        return purposeOf(request.grant_query());
    case messages::Request::kEndedTurn:
        return RequestPurpose::EndedTurn;
    case messages::Request::kRelayQuery:
        return RequestPurpose::Relay;
    case messages::Request::BODY_NOT_SET:
        break;
    }
    return RequestPurpose::Unknown;
}

} // namespace laburnummill::peers
