#pragma once

#include <cstdint>

namespace laburnummill::gossip {

/// The version of a document in force, which never decreases. Lower versions (from a late message, stale data of the platform
/// or a peer that was disconnected) are rejected and counted.
class MonotonicVersion
{
public:
    /// `rejectsLowerVersion` is false only in tests that need a version to decrease.
    explicit MonotonicVersion(bool rejectsLowerVersion = true)
        : m_rejectsLowerVersion(rejectsLowerVersion)
    {}

    /// Returns true if `version` is to be put in force: it is then the current version.
    auto tryAdvance(std::uint64_t version) -> bool
    {
        if (version == m_version) {
            return false;
        }
        if (version < m_version && m_rejectsLowerVersion) {
            ++m_refused;
            return false;
        }
        m_version = version;
        return true;
    }

    auto version() const -> std::uint64_t { return m_version; }

    /// Number of lower versions that were rejected.
    auto refused() const -> std::uint64_t { return m_refused; }

private:
    bool m_rejectsLowerVersion;
    std::uint64_t m_version = 0;
    std::uint64_t m_refused = 0;
};

} // namespace laburnummill::gossip
