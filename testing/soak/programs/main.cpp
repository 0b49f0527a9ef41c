#include "testing/soak/programs/programsoak.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace options = boost::program_options;

auto main(int argc, char** argv) -> int
{
    auto soakOptions = laburnummill::testing::ProgramSoak::Options();
    auto described = options::options_description("soak-programs: owners of programs on virtual time");
    auto add = described.add_options();
    add("seed", options::value(&soakOptions.seed)->default_value(1), "seed of the run");
    add("steps", options::value(&soakOptions.steps)->default_value(100'000), "events before the calm end");
    add("watch", options::value(&soakOptions.watch), "keep only this program's events");
    auto chosen = options::variables_map();
    options::store(options::parse_command_line(argc, argv, described), chosen);
    options::notify(chosen);
    const auto outcome = laburnummill::testing::ProgramSoak(soakOptions).run();
    if (!outcome.violations.empty()) {
        for (const auto& event : outcome.lastEvents) {
            std::cout << event << '\n';
        }
        std::cout << "violated: " << outcome.violations.front() << " (seed " << soakOptions.seed << ", step " << outcome.violatedAtStep
                  << ")\n";
        return 1;
    }
    std::cout << laburnummill::framework::Json{{"seed", soakOptions.seed},     {"steps", soakOptions.steps},
                                               {"answered", outcome.answered}, {"heldAnswers", outcome.heldAnswers},
                                               {"claims", outcome.claims},     {"lostPrograms", outcome.lost},
                                               {"deaths", outcome.deaths},     {"outages", outcome.outages},
                                               {"refused", outcome.refused}}
                     .dump()
              << '\n';
    return 0;
}
