#include "testing/soak/scheduling/schedulingworld.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;

auto print(std::uint64_t seed, const laburnummill::testing::SchedulingWorld& world) -> void
{
    const auto verdict = world.verdict();
    std::cout << "seed " << seed << " step " << world.step() << ": " << (verdict.holds() ? "holds" : "VIOLATED") << "; granted "
              << verdict.granted << ", beyond bound " << verdict.beyondBound << ", while leaving " << verdict.whileLeaving << ", outcomes "
              << verdict.outcomes << ", leaks " << verdict.leaks << ", starved " << verdict.starved << ", inside " << verdict.inside
              << '\n';
    if (!verdict.holds()) {
        for (const auto& event : world.lastEvents()) {
            std::cout << "  " << event << '\n';
        }
    }
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto described = options::options_description("soak-scheduling: a long randomised run of dispatchers on virtual time");
    auto add = described.add_options();
    add("seed", options::value<std::uint64_t>()->default_value(1), "seed of the run");
    add("steps", options::value<std::uint64_t>()->default_value(100'000), "events to run");
    auto chosen = options::variables_map();
    options::store(options::parse_command_line(argc, argv, described), chosen);
    const auto seed = chosen["seed"].as<std::uint64_t>();
    auto world = laburnummill::testing::SchedulingWorld(seed, laburnummill::testing::productParts());
    const auto verdict = world.run(chosen["steps"].as<std::uint64_t>());
    print(seed, world);
    return verdict.holds() ? 0 : 1;
}
