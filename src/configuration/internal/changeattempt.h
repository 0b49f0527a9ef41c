#pragma once

#include <cstdint>
#include <optional>
#include <string>

namespace laburnummill::configuration {

/// Mechanisms that tests switch off in order to see an invariant trip.
struct ChangePolicy
{
    bool resolvesByReadingBack = true; ///< a write without an answer is looked up before anything is said of it
    bool checksRowVersion = true;      ///< the write takes effect only on the row that was read
};

/// What the platform holds, as far as an attempt needs it.
struct StoredVersion
{
    std::uint64_t version = 0;     ///< of the document in force
    std::uint64_t rowVersion = 0;  ///< of its row
    std::string successorChangeId; ///< id of the change that made version `expected` + 1; empty where there is none
};

enum class WriteOutcome
{
    Written,
    Conflict,
    Unknown, ///< the answer was lost
    Refused, ///< surely without effect
};

enum class ChangeStep
{
    Read,     ///< read the document's row and the history row of version `expected` + 1
    Write,    ///< write under expectedRowVersion()
    Accepted, ///< the change is version `expected` + 1
    Conflict, ///< another change is
    Unknown,  ///< the platform did not say in time
    Refused,  ///< surely without effect: the platform cannot be reached
};

/// Decides how one change of a versioned document is carried through: read, write under the row's version, and where
/// the answer is lost or contradicts, read back who made the successor. Events in, the next step out.
class ChangeAttempt
{
public:
    ChangeAttempt(std::uint64_t expected, std::string changeId, ChangePolicy policy = {});

    auto handleRead(const StoredVersion& stored) -> ChangeStep;
    auto handleReadFailure() -> ChangeStep;
    auto handleWrite(WriteOutcome outcome) -> ChangeStep;

    /// The row version that the write must name; nothing: any.
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
    bool m_hasMismatch = false;     ///< a write conflicted with what was read
};

} // namespace laburnummill::configuration
