#pragma once

#include "calls/internal/callsteps.h"

#include <map>
#include <optional>

namespace laburnummill::testing {

/// The rows of intent records, without suspension; versions rise with every write.
class FakeStore
{
public:
    auto write(const calls::IntentKey& key, const std::optional<calls::IntentRecord>& record, std::uint64_t expected)
        -> calls::RecordWritten;
    auto read(const calls::IntentKey& key) const -> std::optional<calls::StoredIntent>;

    auto rows() const -> const std::map<calls::IntentKey, calls::StoredIntent>& { return m_rows; }

private:
    std::map<calls::IntentKey, calls::StoredIntent> m_rows;
    std::uint64_t m_nextVersion = 1;
};

} // namespace laburnummill::testing
