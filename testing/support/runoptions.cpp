#include "testing/support/runoptions.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace laburnummill::testing {

namespace options = boost::program_options;

namespace {

constexpr auto s_exitUsage = 2;

} // namespace

auto readRunOptions(int argc, char** argv) -> RunOptions
{
    auto run = RunOptions();
    auto described = options::options_description("options");
    auto add = described.add_options();
    add("help,h", "shows this help");
    add("seed", options::value(&run.seed)->default_value(run.seed), "of the random generator");
    add("steps", options::value(&run.steps)->default_value(run.steps), "of the run");
    add("preset", options::value(&run.preset), "of the workload");
    auto chosen = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, described), chosen);
        options::notify(chosen);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n' << described << '\n';
        std::exit(s_exitUsage);
    }
    if (chosen.contains("help")) {
        std::cout << described << '\n';
        std::exit(0);
    }
    return run;
}

} // namespace laburnummill::testing
