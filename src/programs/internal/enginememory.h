#pragma once

#include "programs/internal/programrow.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::programs {

/// A program that an engine reports to have in memory, with its row and its root's row as just read; nullopt if there is none.
struct HeldProgram
{
    std::string program;
    std::optional<ProgramRow> row;
    std::optional<ProgramRow> root;
};

/// The programs whose memory an engine can release: those that have ended, have expired or do not exist, and sub-agents of a root
/// that has ended or does not exist. Programs never become active again, so a late release is harmless, whether the engine
/// checks fencing numbers or not.
auto programsToRelease(const std::vector<HeldProgram>& held, std::uint64_t wallMs, std::uint64_t expiryMs) -> std::vector<std::string>;

} // namespace laburnummill::programs
