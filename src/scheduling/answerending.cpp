#include "scheduling/answerending.h"

namespace laburnummill::scheduling {

namespace {

/// Whether the reason lies with a server, so that a further attempt may do away with it.
auto isOfServer(EndReason reason) -> bool
{
    return reason == EndReason::Whole || reason == EndReason::ServerBrokeOff || reason == EndReason::ServerTooSlow;
}

} // namespace

auto AnswerEnding::note(EndReason reason) -> void
{
    if (!m_reason || isOfServer(*m_reason)) {
        m_reason = reason;
    }
}

} // namespace laburnummill::scheduling
