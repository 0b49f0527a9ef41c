#include "configuration/internal/changeattempt.h"

namespace laburnummill::configuration {

namespace {

constexpr auto s_maxSteps = 12;
constexpr auto s_maxFailedReads = 5;

} // namespace

ChangeAttempt::ChangeAttempt(std::uint64_t expected, std::string changeId, ChangePolicy policy)
    : m_expected(expected)
    , m_changeId(std::move(changeId))
    , m_policy(policy)
    , m_stepsLeft(s_maxSteps)
{}

auto ChangeAttempt::expectedRowVersion() const -> std::optional<std::uint64_t>
{
    return m_policy.checksRowVersion ? std::optional(m_rowVersion) : std::nullopt;
}

auto ChangeAttempt::outcomeWhenExhausted() const -> ChangeStep
{
    if (m_hasUnknownWrite) {
        return ChangeStep::Unknown;
    }
    return m_hasMismatch ? ChangeStep::Conflict : ChangeStep::Refused;
}

auto ChangeAttempt::continueWith(ChangeStep step) -> ChangeStep
{
    return --m_stepsLeft > 0 ? step : outcomeWhenExhausted();
}

auto ChangeAttempt::handleRead(const StoredVersion& stored) -> ChangeStep
{
    if (stored.successorChangeId == m_changeId) {
        return ChangeStep::Accepted;
    }
    if (stored.version > m_expected) {
        // NOTE Without the history row of the successor it is unknown which change created it.
        return m_hasUnknownWrite && stored.successorChangeId.empty() ? ChangeStep::Unknown : ChangeStep::Conflict;
    }
    if (stored.version < m_expected) {
        // NOTE Either the platform returned stale data or the operator's version is newer; another read shows which.
        m_hasMismatch = true;
        return continueWith(ChangeStep::Read);
    }
    m_rowVersion = stored.rowVersion;
    return continueWith(ChangeStep::Write);
}

auto ChangeAttempt::handleReadFailure() -> ChangeStep
{
    ++m_failedReads;
    const auto nothingWritten = !m_hasUnknownWrite && !m_hasMismatch;
    return nothingWritten && m_failedReads >= s_maxFailedReads ? ChangeStep::Refused : continueWith(ChangeStep::Read);
}

auto ChangeAttempt::handleWrite(WriteOutcome outcome) -> ChangeStep
{
    switch (outcome) {
    case WriteOutcome::Written:
        return ChangeStep::Accepted;
    case WriteOutcome::Conflict:
        m_hasMismatch = true;
        return continueWith(ChangeStep::Read);
    case WriteOutcome::Unknown:
        if (!m_policy.resolvesByReadingBack) {
            return ChangeStep::Refused;
        }
        m_hasUnknownWrite = true;
        return continueWith(ChangeStep::Read);
    case WriteOutcome::Refused:
        return m_hasUnknownWrite ? continueWith(ChangeStep::Read) : ChangeStep::Refused;
    }
    return outcomeWhenExhausted();
}

} // namespace laburnummill::configuration
