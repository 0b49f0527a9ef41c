#include "testing/soak/gossip/gossipsoak.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace options = boost::program_options;

auto main(int argc, char** argv) -> int
{
    auto seed = std::uint64_t{1};
    auto steps = std::uint64_t{100'000};
    auto description = options::options_description("soak-gossip");
    description.add_options()("seed", options::value(&seed))("steps", options::value(&steps));
    auto values = options::variables_map();
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);

    auto soak = laburnummill::testing::GossipSoak(seed, {});
    const auto held = soak.run(steps);
    std::cout << "seed " << seed << ", step " << soak.step() << ", accepted changes " << soak.accepted()
              << ", slowest in force on all connected hosts " << soak.slowest().count() << " ms\n";
    if (held) {
        return 0;
    }
    std::cout << "violation: " << soak.violation() << "\n";
    for (const auto& event : soak.lastEvents()) {
        std::cout << "  " << event << "\n";
    }
    return 1;
}
