#include "testing/soak/calls/fakestore.h"

namespace laburnummill::testing {

using calls::RecordWritten;
using calls::StoreStatus;

auto FakeStore::write(const calls::IntentKey& key, const std::optional<calls::IntentRecord>& record, std::uint64_t expected)
    -> RecordWritten
{
    const auto found = m_rows.find(key);
    const auto version = found == m_rows.end() ? std::uint64_t{0} : found->second.version;
    if (version != expected) {
        return {StoreStatus::Conflict, 0};
    }
    if (!record) {
        m_rows.erase(key);
        return {StoreStatus::Done, 0};
    }
    m_rows[key] = {*record, m_nextVersion};
    return {StoreStatus::Done, m_nextVersion++};
}

auto FakeStore::read(const calls::IntentKey& key) const -> std::optional<calls::StoredIntent>
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

} // namespace laburnummill::testing
