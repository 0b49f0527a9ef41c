#pragma once

#include <cstdint>
#include <string>

namespace laburnummill::testing {

/// Options that randomised runs and measurements share.
struct RunOptions
{
    std::uint64_t seed = 1;
    std::uint64_t steps = 100'000;
    std::string preset;
};

/// Reads `--seed N`, `--steps K` and `--preset NAME`; exits with 2 where the words are others.
auto readRunOptions(int argc, char** argv) -> RunOptions;

} // namespace laburnummill::testing
