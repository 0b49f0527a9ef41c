#pragma once

#include "framework/global/time.h"
#include "programs/turn.h"

#include <cstdint>
#include <map>
#include <vector>

namespace laburnummill::programs {

/// A program whose budget was found to be spent.
struct SpentProgram
{
    std::uint64_t program = 0; ///< spentProgramHash()
    framework::Milliseconds age{0};
};

auto spentProgramHash(const ProgramKey& key) -> std::uint64_t;

/// Programs that were refused a turn because their rows showed too few tokens. Such a program may return with a turn that names no
/// previous one, as if it began, and without the store nothing else tells it from one that does. Hosts exchange what they know, also what
/// they have from others, so that it outlives restarts. Performs no I/O.
class SpentPrograms
{
public:
    /// Records that the program's row has too few tokens for a turn.
    auto record(const ProgramKey& key, framework::Instant now) -> void;

    /// Adds what another host knows.
    auto merge(const std::vector<SpentProgram>& reports, framework::Instant now) -> void;

    auto contains(const ProgramKey& key, framework::Instant now) const -> bool;

    /// What to report with heartbeat number `sequence`: programs that have recently become known, and now and then all of them in turn.
    auto reports(std::uint64_t sequence, framework::Instant now) const -> std::vector<SpentProgram>;

    /// Forgets programs after the time within which they may return.
    auto removeExpired(framework::Instant now) -> void;

private:
    struct Entry
    {
        framework::Instant spentAt{};
        framework::Instant knownSince{};
    };

    std::map<std::uint64_t, Entry> m_programs;
};

} // namespace laburnummill::programs
