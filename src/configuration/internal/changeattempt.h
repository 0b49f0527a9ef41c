#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace laburnummill::configuration {

/// Mechanisms that tests disable to check that the violation of an invariant is detected.
struct ChangePolicy
{
    bool resolvesByReadingBack = true; ///< reads back a write without a reply before its outcome is reported
    bool checksRowVersion = true;      ///< the write takes effect only if the row has the version that was read
};

/// The state in the platform that an attempt needs.
struct StoredVersion
{
    std::uint64_t version = 0;     ///< of the stored document
    std::uint64_t rowVersion = 0;  ///< of its row
    std::string successorChangeId; ///< id of the change that created version `expected` + 1; empty if there is none
};

enum class WriteOutcome
{
    Written,
    Conflict,
    Unknown, ///< the reply was lost
    Refused, ///< certainly without effect
};

enum class ChangeStep
{
    Read,     ///< read the document's row and the history row of version `expected` + 1
    Write,    ///< write with expectedRowVersion() as the condition
    Accepted, ///< this change is version `expected` + 1
    Conflict, ///< another change is version `expected` + 1, or the platform did not reach version `expected`
    Unknown,  ///< the outcome could not be determined in time
    Refused,  ///< certainly without effect: the platform is unreachable
};

/// State machine for one change of a versioned document: reads, writes on condition of the row's version and, if the reply
/// is lost or reports a conflict, reads back which change created the successor. Each event returns the next step.
class ChangeAttempt
{
public:
    ChangeAttempt(std::uint64_t expected, std::string changeId, ChangePolicy policy = {});

    auto handleRead(const StoredVersion& stored) -> ChangeStep;
    auto handleReadFailure() -> ChangeStep;
    auto handleWrite(WriteOutcome outcome) -> ChangeStep;

    /// The row version that is the condition of the write; nullopt for an unconditional write.
    auto expectedRowVersion() const -> std::optional<std::uint64_t>;

    auto version() const -> std::uint64_t { return m_expected + 1; }
    auto changeId() const -> const std::string& { return m_changeId; }

private:
    auto continueWith(ChangeStep step) -> ChangeStep;
    auto outcomeWhenExhausted() const -> ChangeStep;

    std::uint64_t m_expected;
    std::string m_changeId;
    ChangePolicy m_policy;
    std::uint64_t m_rowVersion = 0;
    int m_stepsLeft;
    int m_failedReads = 0;
    bool m_hasUnknownWrite = false; ///< a write may have taken effect
    bool m_hasMismatch = false;     ///< a write conflicted, or a read returned a version lower than expected
};

} // namespace laburnummill::configuration
