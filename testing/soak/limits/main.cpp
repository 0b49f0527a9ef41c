#include "testing/soak/limits/limitfleet.h"
#include "testing/support/runoptions.h"

#include <iostream>

auto main(int argc, char** argv) -> int
{
    using namespace laburnummill::testing;
    const auto options = readRunOptions(argc, argv);
    auto fleet = LimitFleet(options.seed, LimitFleetOptions());
    for (auto step = std::uint64_t{0}; step < options.steps; ++step) {
        if (fleet.step()) {
            continue;
        }
        std::cout << "seed " << options.seed << ", step " << step << ": accepted above rate and burst\n";
        for (const auto& event : fleet.lastEvents()) {
            std::cout << "  " << event << '\n';
        }
        return 1;
    }
    const auto& counts = fleet.counts();
    std::cout << "limits: seed " << options.seed << ", " << options.steps << " steps, " << fleet.seconds() << " s of virtual time, "
              << counts.calls << " calls, " << counts.granted << " granted, none above the limit\n";
    return 0;
}
