#include "testing/soak/calls/callworld.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

using laburnummill::testing::CallWorld;

auto report(const CallWorld& world, std::uint64_t seed) -> void
{
    for (const auto& [name, count] : world.counts()) {
        std::cout << name << "=" << count << " ";
    }
    std::cout << "\nseed=" << seed << " steps=" << world.stepsTaken() << "\n";
}

auto reportViolation(const CallWorld& world, laburnummill::testing::Violation violation) -> void
{
    for (const auto& line : world.lastEvents()) {
        std::cout << line << "\n";
    }
    std::cout << "violated: " << violationName(violation) << "\n";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    namespace options = boost::program_options;
    auto seed = std::uint64_t{1};
    auto steps = std::uint64_t{100'000};
    auto description = options::options_description("soak-calls");
    description.add_options()("seed", options::value(&seed), "seed")("steps", options::value(&steps), "events to take");
    auto values = options::variables_map();
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);

    auto world = CallWorld(seed);
    const auto violation = world.run(steps);
    report(world, seed);
    if (violation) {
        reportViolation(world, *violation);
        return 1;
    }
    return 0;
}
