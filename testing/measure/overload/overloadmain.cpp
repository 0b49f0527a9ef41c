#include "testing/measure/overload/overloadrun.h"

#include <boost/program_options.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <fstream>
#include <iomanip>
#include <iostream>

namespace {

namespace options = boost::program_options;
using laburnummill::testing::OverloadFigures;
using laburnummill::testing::OverloadPlan;
using laburnummill::testing::OverloadRun;
using Json = nlohmann::json;

constexpr auto s_loads = std::array{0.5, 0.7, 1.0, 1.5, 2.5, 5.0};
constexpr auto s_plotWidth = 600.0;
constexpr auto s_plotHeight = 300.0;
constexpr auto s_lateSeconds = std::size_t{10}; ///< at the end of the overload

struct Variant
{
    std::string name;
    OverloadPlan plan;
};

auto variants() -> std::vector<Variant>
{
    auto slow = OverloadPlan();
    slow.slowness = 5;
    slow.objectiveFactor = 7; // The objectives of the other variants cannot be met by any admission.
    auto large = OverloadPlan();
    large.hosts = 295;
    large.servers = 36;
    return {{"12 hosts", OverloadPlan()}, {"12 hosts, servers five times as slow", slow}, {"295 hosts", large}};
}

auto print(double load, const OverloadFigures& figures, double atEnd) -> void
{
    const auto& counts = figures.overload;
    std::cout << std::setw(6) << load << std::setw(9) << counts.asked << std::setw(9) << counts.inTime << std::setw(9) << counts.late
              << std::setw(9) << counts.refused << std::setw(9) << counts.failed << std::setw(14) << atEnd << std::setw(12)
              << figures.recoverySeconds << '\n';
}

/// The rate in time against the load, one line for each variant.
auto plot(const std::string& file, const Json& document) -> void
{
    auto most = 1.0;
    for (const auto& variant : document) {
        for (const auto& point : variant) {
            most = std::max(most, point["in_time_share_of_capacity"].get<double>());
        }
    }
    auto svg = std::ofstream(file);
    svg << "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 " << s_plotWidth << ' ' << s_plotHeight + 20 << "'>\n";
    auto hue = 0;
    for (const auto& [name, variant] : document.items()) {
        svg << "<polyline fill='none' stroke='hsl(" << hue << ",70%,40%)' points='";
        for (const auto& point : variant) {
            svg << point["load"].get<double>() / s_loads.back() * s_plotWidth << ','
                << s_plotHeight * (1 - point["in_time_share_of_capacity"].get<double>() / most) << ' ';
        }
        svg << "'><title>" << name << "</title></polyline>\n";
        hue += 120;
    }
    svg << "<text x='0' y='" << s_plotHeight + 15 << "' font-size='12'>load 0 to 5, programs in time as a share of the capacity</text>\n"
        << "</svg>\n";
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto described = options::options_description("measure-overload: programs in time against the load, on the product's admission");
    auto add = described.add_options();
    add("seed", options::value<std::uint64_t>()->default_value(1), "of the arrivals");
    add("plot", options::value<std::string>(), "SVG file to write");
    auto chosen = options::variables_map();
    options::store(options::parse_command_line(argc, argv, described), chosen);
    auto document = Json::object();
    for (const auto& [name, basePlan] : variants()) {
        std::cout << name << "\n  load    asked  in time     late  refused   failed  in time/s end  recovery s\n";
        for (const auto load : s_loads) {
            auto plan = basePlan;
            plan.load = load;
            plan.seed = chosen["seed"].as<std::uint64_t>();
            const auto figures = OverloadRun(plan).run();
            const auto seconds = static_cast<std::size_t>(plan.duration.count());
            const auto atEnd = figures.inTimeRate(seconds - s_lateSeconds, seconds);
            print(load, figures, atEnd);
            document[name].push_back({{"load", load},
                                      {"in_time", figures.overload.inTime},
                                      {"in_time_share_of_capacity", figures.overload.inTimeShare() * load},
                                      {"in_time_per_second_at_end", atEnd},
                                      {"late", figures.overload.late},
                                      {"refused", figures.overload.refused},
                                      {"failed", figures.overload.failed},
                                      {"recovery_s", figures.recoverySeconds}});
        }
    }
    if (chosen.contains("plot")) {
        plot(chosen["plot"].as<std::string>(), document);
    }
    std::cout << document.dump() << '\n';
    return 0;
}
