#include "framework/global/json.h"
#include "testing/soak/limits/limitfleet.h"
#include "testing/support/runoptions.h"

#include <iostream>

namespace {

using laburnummill::framework::Json;
using laburnummill::framework::Milliseconds;
using laburnummill::testing::LimitCounts;
using laburnummill::testing::LimitFleet;
using laburnummill::testing::LimitFleetOptions;

constexpr auto s_stepsPerSecond = 100;
constexpr auto s_warmUpSeconds = 5;
constexpr auto s_connectedSeconds = 600;
constexpr auto s_cutSeconds = 60;
constexpr auto s_fleets = std::uint64_t{10};

auto run(LimitFleet& fleet, int seconds) -> LimitCounts
{
    fleet.resetCounts();
    for (auto step = 0; step < seconds * s_stepsPerSecond; ++step) {
        fleet.step();
    }
    return fleet.counts();
}

auto add(LimitCounts& sum, const LimitCounts& counts) -> void
{
    sum.calls += counts.calls;
    sum.granted += counts.granted;
    sum.refusedWithinRate += counts.refusedWithinRate;
    sum.overLimit += counts.overLimit;
    sum.messages += counts.messages;
}

auto share(std::uint64_t part, std::uint64_t whole) -> double
{
    return whole == 0 ? 0 : static_cast<double>(part) / static_cast<double>(whole);
}

struct Figures
{
    LimitCounts connected;
    LimitCounts cut;
    LimitCounts overloading;
};

/// Several fleets: callers within their rate while connected and while a data centre is cut off; then callers far above it.
auto measure(std::uint64_t seed, Milliseconds term) -> Figures
{
    auto figures = Figures();
    for (auto number = std::uint64_t{0}; number < s_fleets; ++number) {
        auto options = LimitFleetOptions();
        options.faultsPerSecond = 0;
        options.conforming = true;
        options.term = term;
        auto fleet = LimitFleet(seed * s_fleets + number, options);
        run(fleet, s_warmUpSeconds);
        add(figures.connected, run(fleet, s_connectedSeconds));
        fleet.setCutOff(number % options.dataCentres, true);
        add(figures.cut, run(fleet, s_cutSeconds));

        options.conforming = false;
        options.callsPerRate = 5.0;
        auto overloaded = LimitFleet(seed * s_fleets + number, options);
        run(overloaded, s_warmUpSeconds);
        add(figures.overloading, run(overloaded, s_cutSeconds));
    }
    return figures;
}

auto toJson(const Figures& figures) -> Json
{
    const auto calls = figures.connected.calls;
    return {
        {"accepted_over_limit", figures.connected.overLimit + figures.cut.overLimit + figures.overloading.overLimit},
        {"refused_within_rate_connected", figures.connected.refusedWithinRate},
        {"refused_within_rate_partitioned", share(figures.cut.refusedWithinRate, figures.cut.calls)},
        {"messages_per_call", share(figures.connected.messages, calls)},
        {"messages_per_call_overloading", share(figures.overloading.messages, figures.overloading.calls)},
        {"calls_connected", calls},
        {"calls_partitioned", figures.cut.calls},
    };
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto options = laburnummill::testing::readRunOptions(argc, argv);
    for (const auto term : {Milliseconds(1'000), Milliseconds(4'000), Milliseconds(8'000)}) {
        std::cout << "term of " << term.count() << " ms: " << toJson(measure(options.seed, term)).dump() << '\n';
    }
    std::cout << toJson(measure(options.seed, LimitFleetOptions().term)).dump() << '\n';
    return 0;
}
