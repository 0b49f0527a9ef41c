#include "programs/spentprograms.h"

#include "framework/global/digest.h"

#include <algorithm>

namespace laburnummill::programs {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Turns are retained for a minute, within which a program may return.
constexpr auto s_retention = Milliseconds(70'000);

/// A program is reported for this long after it has become known; lost heartbeats are made up for within that time.
constexpr auto s_newsTime = Milliseconds(2'000);

/// Heartbeats between two that also report programs that have been known for longer, for hosts that have been restarted since.
constexpr auto s_heartbeatsPerReview = std::uint64_t{20};

/// Programs in one heartbeat, some 14 bytes each.
constexpr auto s_maxReports = std::size_t{48};

} // namespace

auto spentProgramHash(const ProgramKey& key) -> std::uint64_t
{
    return framework::hash64(key.program, framework::hash64(key.account));
}

auto SpentPrograms::record(const ProgramKey& key, Instant now) -> void
{
    auto& entry = m_programs.try_emplace(spentProgramHash(key), Entry{.spentAt = now, .knownSince = now}).first->second;
    entry.spentAt = now;
}

auto SpentPrograms::merge(const std::vector<SpentProgram>& reports, Instant now) -> void
{
    for (const auto& report : reports) {
        const auto spentAt = now - report.age;
        if (report.age < s_retention) {
            auto& entry = m_programs.try_emplace(report.program, Entry{.spentAt = spentAt, .knownSince = now}).first->second;
            entry.spentAt = std::max<Instant>(entry.spentAt, spentAt);
        }
    }
}

auto SpentPrograms::contains(const ProgramKey& key, Instant now) const -> bool
{
    const auto found = m_programs.find(spentProgramHash(key));
    return found != m_programs.end() && now < found->second.spentAt + s_retention;
}

auto SpentPrograms::reports(std::uint64_t sequence, Instant now) const -> std::vector<SpentProgram>
{
    auto fresh = std::vector<SpentProgram>();
    auto known = std::vector<SpentProgram>();
    for (const auto& [program, entry] : m_programs) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - entry.spentAt);
        auto& list = now < entry.knownSince + s_newsTime ? fresh : known;
        if (age < s_retention) {
            list.push_back({.program = program, .age = age});
        }
    }
    if (sequence % s_heartbeatsPerReview == 0 && !known.empty()) {
        const auto first = sequence / s_heartbeatsPerReview * s_maxReports % known.size();
        std::ranges::rotate(known, known.begin() + static_cast<std::ptrdiff_t>(first));
        fresh.insert(fresh.end(), known.begin(), known.end());
    }
    fresh.resize(std::min(fresh.size(), s_maxReports));
    return fresh;
}

auto SpentPrograms::removeExpired(Instant now) -> void
{
    std::erase_if(m_programs, [now](const auto& entry) { return entry.second.spentAt + s_retention < now; });
}

} // namespace laburnummill::programs
