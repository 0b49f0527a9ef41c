#pragma once

#include "configuration/internal/changeattempt.h"
#include "framework/global/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// The platform's row of one versioned document on virtual time: versions, their history, and writes that arrive late.
class SoakStore
{
public:
    struct Write
    {
        framework::Instant due;
        std::uint64_t version = 0;
        std::string changeId;
        std::optional<std::uint64_t> expectedRowVersion;
    };

    auto version() const -> std::uint64_t { return m_changes.size(); }

    /// What a reader sees; `behind` versions old.
    auto read(std::uint64_t expected, std::uint64_t behind) const -> configuration::StoredVersion;

    auto write(const Write& write) -> configuration::WriteOutcome;

    /// A write whose answer is lost and which takes effect at its time, if its row is still as expected.
    auto writeLater(Write write) -> void { m_late.push_back(std::move(write)); }

    auto advance(framework::Instant now) -> void;

    /// The change that made `version`; empty where none has.
    auto changeOf(std::uint64_t version) const -> std::string;

private:
    std::vector<std::string> m_changes; ///< by version, from 1
    std::uint64_t m_rowVersion = 0;
    std::vector<Write> m_late;
};

} // namespace laburnummill::testing
