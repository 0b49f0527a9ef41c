#include "testing/soak/gossip/soakstore.h"

#include <algorithm>

namespace laburnummill::testing {

using configuration::StoredVersion;
using configuration::WriteOutcome;

auto SoakStore::changeOf(std::uint64_t version) const -> std::string
{
    return version >= 1 && version <= m_changes.size() ? m_changes[version - 1] : std::string();
}

auto SoakStore::read(std::uint64_t expected, std::uint64_t behind) const -> StoredVersion
{
    const auto seen = version() - std::min(behind, version());
    const auto successor = expected + 1 <= seen ? changeOf(expected + 1) : std::string();
    return {seen, m_rowVersion - (version() - seen), successor};
}

auto SoakStore::write(const Write& write) -> WriteOutcome
{
    if (write.expectedRowVersion && *write.expectedRowVersion != m_rowVersion) {
        return WriteOutcome::Conflict;
    }
    m_changes.resize(write.version);
    m_changes.back() = write.changeId;
    ++m_rowVersion;
    return WriteOutcome::Written;
}

auto SoakStore::advance(framework::Instant now) -> void
{
    const auto due = [now](const Write& late) { return late.due <= now; };
    for (const auto& late : m_late) {
        if (due(late)) {
            (void)write(late);
        }
    }
    std::erase_if(m_late, due);
}

} // namespace laburnummill::testing
