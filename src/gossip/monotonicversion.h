#pragma once

#include <cstdint>

namespace laburnummill::gossip {

/// The version of a document in force: it only ever rises. Lower offers (a late message, old data of the platform, a
/// peer that was away) are refused and counted.
class MonotonicVersion
{
public:
    /// `rejectsLowerVersion` is switched off only by tests that want to see a fall.
    explicit MonotonicVersion(bool rejectsLowerVersion = true)
        : m_rejectsLowerVersion(rejectsLowerVersion)
    {}

    /// True where `version` is to be put in force.
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

    /// How many lower versions were refused.
    auto refused() const -> std::uint64_t { return m_refused; }

private:
    bool m_rejectsLowerVersion;
    std::uint64_t m_version = 0;
    std::uint64_t m_refused = 0;
};

} // namespace laburnummill::gossip
