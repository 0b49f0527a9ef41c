#include "testing/simulation/faultschedule.h"

#include <boost/program_options.hpp>

#include <iostream>

using laburnummill::testing::FaultSchedule;
using laburnummill::testing::VirtualFleet;

namespace {

namespace options = boost::program_options;

constexpr auto s_stepsPerFleet = std::uint64_t{200'000};

auto report(const VirtualFleet& fleet, std::uint64_t seed, std::uint64_t step) -> void
{
    std::cout << "violated: seed " << seed << ", step " << step << "; the last events:\n";
    for (const auto& event : fleet.events()) {
        std::cout << "  " << event << '\n';
    }
}

/// Runs fleets of three to nine hosts one after another; false on a violation.
auto soak(std::uint64_t seed, std::uint64_t steps) -> bool
{
    const auto rules = laburnummill::coordination::ProtocolRules();
    auto owned = 0.0;
    auto fleets = std::uint64_t{0};
    for (auto step = std::uint64_t{0}; step < steps; ++fleets) {
        auto fleet = VirtualFleet(3 + (seed + fleets) % 7, seed * 1'000'003 + fleets, rules);
        auto faults = FaultSchedule(fleet);
        for (auto end = std::min(steps, step + s_stepsPerFleet); step < end; ++step) {
            faults.step();
            if (fleet.overlaps() + fleet.invariantViolations() > 0) {
                report(fleet, seed, step);
                return false;
            }
        }
        owned += fleet.ownedShare();
    }
    std::cout << "held: seed " << seed << ", " << steps << " steps, " << fleets << " fleets, shards owned in "
              << owned / static_cast<double>(fleets) << " of the checks\n";
    return true;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto description = options::options_description("soak-coordination");
    description.add_options()("seed", options::value<std::uint64_t>()->default_value(1));
    description.add_options()("steps", options::value<std::uint64_t>()->default_value(1'000'000));
    auto values = options::variables_map();
    options::store(options::parse_command_line(argc, argv, description), values);
    return soak(values["seed"].as<std::uint64_t>(), values["steps"].as<std::uint64_t>()) ? 0 : 1;
}
