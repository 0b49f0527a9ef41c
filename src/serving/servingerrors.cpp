#include "serving/servingerrors.h"

namespace laburnummill::serving {

auto statusOf(Refusal refusal) -> unsigned
{
    switch (refusal) {
    case Refusal::BadRequest:
    case Refusal::NoRequestId:
    case Refusal::NotResumable:
    case Refusal::BadTurnId:
        return 400;
    case Refusal::UnknownKey:
        return 401;
    case Refusal::BudgetSpent:
        return 402;
    case Refusal::UnknownRoute:
    case Refusal::NoSuchTurn:
        return 404;
    case Refusal::TurnTooLarge:
        return 413;
    case Refusal::RateLimited:
        return 429;
    case Refusal::Lost:
        return 502;
    case Refusal::TimedOut:
        return 504;
    case Refusal::NoConfiguration:
    case Refusal::TurnUnknown:
    case Refusal::BudgetUnknown:
    case Refusal::NoServer:
    case Refusal::ServersFull:
    case Refusal::ServersLimited:
    case Refusal::TooLate:
    case Refusal::Quarantined:
    case Refusal::StoreUnreachable:
    case Refusal::Stopping:
    case Refusal::CutOff:
    case Refusal::Isolated:
    case Refusal::NotRun:
    case Refusal::TimedOutUnsent:
    case Refusal::HostFull:
        return 503;
    }
    return 503;
}

} // namespace laburnummill::serving
