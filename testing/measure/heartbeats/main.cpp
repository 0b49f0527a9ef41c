#include "framework/global/json.h"
#include "heartbeatfleet.h"
#include "testing/support/runoptions.h"

#include <iostream>

namespace {

using laburnummill::framework::Json;
using laburnummill::framework::Milliseconds;
using laburnummill::testing::HeartbeatFigures;
using laburnummill::testing::HeartbeatFleet;

constexpr auto s_time = Milliseconds(30'000);

/// The sites' window and what they allow above a limit within it.
constexpr auto s_windowSeconds = 5.0;
constexpr auto s_allowed = (HeartbeatFleet::s_ratePerSecond * s_windowSeconds + HeartbeatFleet::s_burst) * 1.1 + 20;

struct Size
{
    int hosts = 0;
    int dataCentres = 0;
    std::uint64_t seeds = 0;
};

/// Both sites today, both grown sites, and the size of docs/CAPACITY.md.
constexpr auto s_sizes = {Size{9, 3, 20}, Size{12, 3, 20}, Size{76, 3, 5}, Size{79, 4, 5}, Size{380, 6, 1}};

auto add(HeartbeatFigures& sum, const HeartbeatFigures& figures) -> void
{
    sum.datagrams += figures.datagrams;
    sum.bytes += figures.bytes;
    sum.bytesBetweenDataCentres += figures.bytesBetweenDataCentres;
    sum.calls += figures.calls;
    sum.refusedWithin += figures.refusedWithin;
    sum.mostInWindow = std::max(sum.mostInWindow, figures.mostInWindow);
    sum.known = std::max(sum.known, figures.known);
    sum.noticed = std::max(sum.noticed, figures.noticed);
}

auto measure(const Size& size, std::uint64_t seed) -> Json
{
    auto sum = HeartbeatFigures();
    for (auto number = std::uint64_t{0}; number < size.seeds; ++number) {
        auto fleet = HeartbeatFleet(size.hosts, size.dataCentres, seed * size.seeds + number);
        fleet.run(s_time);
        auto figures = fleet.figures();
        fleet.measureNews();
        figures.known = fleet.figures().known;
        figures.noticed = fleet.figures().noticed;
        add(sum, figures);
    }
    const auto hostSeconds =
        static_cast<double>(size.hosts) * static_cast<double>(size.seeds) * std::chrono::duration<double>(s_time).count();
    return {{"hosts", size.hosts},
            {"datagrams_taken_per_second", static_cast<double>(sum.datagrams) / hostSeconds},
            {"kilobytes_taken_per_second", static_cast<double>(sum.bytes) / hostSeconds / 1'000},
            {"kilobytes_between_data_centres_per_second", static_cast<double>(sum.bytesBetweenDataCentres) / hostSeconds / 1'000},
            {"version_known_everywhere_ms", sum.known.count()},
            {"death_noticed_ms", sum.noticed.count()},
            {"refused_within_rate", static_cast<double>(sum.refusedWithin) / static_cast<double>(sum.calls)},
            {"most_in_window", sum.mostInWindow},
            {"allowed_in_window", s_allowed}};
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto options = laburnummill::testing::readRunOptions(argc, argv);
    auto all = Json::array();
    for (const auto& size : s_sizes) {
        all.push_back(measure(size, options.seed));
        std::cout << all.back().dump() << '\n';
    }
    std::cout << Json{{"heartbeats", all}}.dump() << '\n';
    return 0;
}
