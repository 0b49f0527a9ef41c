#include "gossip/iconfirmations.h"

#include "framework/global/nametable.h"

namespace laburnummill::gossip {

namespace {

constexpr auto s_stateNames = framework::NameTable<ConfirmationState, 3>{{
    {ConfirmationState::Confirmed, "confirmed"},
    {ConfirmationState::Partial, "partial"},
    {ConfirmationState::Unreachable, "cut-off"},
}};

} // namespace

auto confirmationStateName(ConfirmationState state) -> std::string_view
{
    return framework::nameOf(s_stateNames, state);
}

} // namespace laburnummill::gossip
