#include "faultplayer.h"
#include "soakcallers.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/program_options.hpp>

#include <filesystem>
#include <iostream>

#include <fmt/format.h>

namespace {

namespace options = boost::program_options;
using namespace laburnummill;
using namespace laburnummill::testing;
using framework::Json;
using framework::Milliseconds;

/// Hosts serve half a second after their start; the rest is a busy machine's.
constexpr auto s_startPatience = Milliseconds(10'000);

/// The sites' bound until hosts serve again after trouble is 15 s; on loopback nothing needs that long.
constexpr auto s_settleTime = Milliseconds(6'000);

/// Programs from the time of the faults that have to go on, where losses of all hosts are among these.
constexpr auto s_earlierPrograms = std::size_t{150};

constexpr auto s_look = Milliseconds(50);

struct SoakOptions
{
    FleetPlan fleet;
    std::uint64_t seed = 1;
    int seconds = 15;
    int programs = 24;
    Mixture mixture = Mixture::All;
};

auto faultsOf(const SoakOptions& chosen) -> std::vector<Fault>
{
    return drawFaults(chosen.seed, std::chrono::seconds(chosen.seconds), chosen.mixture);
}

auto restFor(asio::io_context& context, Milliseconds time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

auto waitUntilReady(asio::io_context& context, SoakFleet& fleet) -> asio::awaitable<bool>
{
    const auto deadline = std::chrono::steady_clock::now() + s_startPatience;
    for (auto host = 0; host < fleet.hosts();) {
        if (co_await fleet.isReady(host)) {
            ++host;
        } else if (std::chrono::steady_clock::now() > deadline) {
            co_return false;
        } else {
            co_await restFor(context, s_look);
        }
    }
    co_return true;
}

auto runSoak(asio::io_context& context, const SoakOptions& chosen, SoakFleet& fleet, Promises& promises) -> asio::awaitable<void>
{
    if (!co_await waitUntilReady(context, fleet)) {
        promises.broken(Promise::Recovers, "the fleet does not start");
        context.stop();
        co_return;
    }
    auto callers = SoakCallers(context, fleet, promises, chosen.seed);
    callers.start(chosen.programs);
    auto player = FaultPlayer(context, fleet, promises.stops(), faultsOf(chosen));
    co_await player.play();
    co_await restFor(context, s_settleTime);
    callers.stop();
    while (callers.running() > 0) {
        co_await restFor(context, s_look);
    }
    co_await callers.checkRecovery(losesAllHosts(chosen.mixture) ? s_earlierPrograms : 0);
    co_await callers.checkDrainedServer();
    co_await callers.checkWithdrawnKey();
    context.stop();
}

auto report(const SoakOptions& chosen, const Promises& promises, std::size_t faults) -> int
{
    auto statuses = Json::object();
    for (const auto& [status, count] : promises.statuses()) {
        statuses[status == 0 ? "broken_off" : std::to_string(status)] = count;
    }
    auto violations = Json::array();
    for (const auto& violation : promises.violations()) {
        violations.push_back({{"promise", nameOf(violation.promise)}, {"detail", violation.detail}});
    }
    std::cout << Json{{"seed", chosen.seed},
                      {"mixture", nameOf(chosen.mixture)},
                      {"hosts", chosen.fleet.hosts},
                      {"faults", faults},
                      {"attempts", promises.attempts()},
                      {"answered", promises.answered()},
                      {"statuses", statuses},
                      {"stops", promises.stops().stops()},
                      {"ended_before_main", promises.stops().endsBeforeMain()},
                      {"cut_off_beside_faults", promises.stops().excused()},
                      {"violations", violations}}
                     .dump()
              << '\n';
    return promises.violations().empty() ? 0 : 1;
}

auto run(const SoakOptions& chosen) -> int
{
    std::filesystem::create_directories(chosen.fleet.folder);
    auto context = asio::io_context(1);
    auto promises = Promises({{"small", {.perSecond = 8, .burst = 8}}}, chosen.fleet.gracePeriod);
    auto fleet = SoakFleet(context, chosen.fleet, promises);
    asio::co_spawn(context, runSoak(context, chosen, fleet, promises), [](const std::exception_ptr& failure) {
        if (failure) {
            std::rethrow_exception(failure);
        }
    });
    context.run();
    return report(chosen, promises, faultsOf(chosen).size());
}

} // namespace

auto main(int argc, char** argv) -> int
{
    auto chosen = SoakOptions();
    auto described = options::options_description("fault-soak: the real program on many hosts, with faults from outside");
    auto add = described.add_options();
    add("help", "this text");
    add("program", options::value(&chosen.fleet.program)->required(), "path of the entry host's program");
    add("logs", options::value(&chosen.fleet.folder)->required(), "folder for settings and logs, below which each seed has its own");
    add("seed", options::value(&chosen.seed), "which faults");
    add("seconds", options::value(&chosen.seconds), "how long faults come");
    add("hosts", options::value(&chosen.fleet.hosts), "processes");
    add("data-centres", options::value(&chosen.fleet.dataCentres), "among which hosts are spread");
    add("engines", options::value(&chosen.fleet.engines), "stand-ins of backend servers");
    add("programs", options::value(&chosen.programs), "callers' programs at a time");
    add("mixture", options::value<std::string>()->default_value("all"),
        "faults to draw from: all, planned, rolls, resources, partial, outage");
    add("grace", options::value<int>()->default_value(4), "seconds that hosts have to stop");
    add("event-pause", options::value<int>()->default_value(8), "milliseconds that backend servers take for an event or a plain answer");
    add("faults", "prints the faults of the seed and ends");
    auto values = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, described), values);
        if (values.contains("help")) {
            std::cout << described;
            return 0;
        }
        options::notify(values);
        chosen.fleet.folder += '/' + std::to_string(chosen.seed);
        const auto mixture = mixtureOf(values["mixture"].as<std::string>());
        if (!mixture) {
            std::cerr << "unknown mixture\n" << described;
            return 2;
        }
        chosen.mixture = *mixture;
        chosen.fleet.gracePeriod = std::chrono::seconds(values["grace"].as<int>());
        chosen.fleet.eventPause = Milliseconds(values["event-pause"].as<int>());
        if (values.contains("faults")) {
            for (const auto& fault : faultsOf(chosen)) {
                std::cout << fmt::format("{:6} {:6} ms {:3} {}\n", fault.at.count(), fault.time.count(), fault.target, nameOf(fault.kind));
            }
            return 0;
        }
        return run(chosen);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n' << described;
        return 2;
    }
}
