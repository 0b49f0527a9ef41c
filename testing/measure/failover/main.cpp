#include "testing/simulation/virtualfleet.h"
#include "testing/support/runoptions.h"

#include <algorithm>
#include <iostream>

using laburnummill::coordination::ProtocolRules;
using laburnummill::framework::Milliseconds;
using laburnummill::testing::VirtualFleet;

namespace {

constexpr auto s_rounds = std::uint64_t{100};
constexpr auto s_shard = "shard-1";
constexpr auto s_forming = Milliseconds(10'000);
constexpr auto s_settle = Milliseconds(5'000);
constexpr auto s_limit = Milliseconds(120'000);

enum class Loss
{
    DeathStoreUp,
    DeathStoreDown,
    GracefulStop,
    Pause,
};

/// Times until the shard was owned again, and what went wrong.
struct Outcome
{
    std::vector<double> seconds;
    std::uint64_t never = 0;
    std::uint64_t overlaps = 0;

    auto p99() -> double
    {
        std::ranges::sort(seconds);
        return seconds.empty() ? 0 : seconds[(seconds.size() * 99 + 99) / 100 - 1];
    }
};

auto lose(VirtualFleet& fleet, Loss loss, std::size_t owner) -> void
{
    if (loss == Loss::GracefulStop) {
        fleet.leave(owner);
    } else if (loss == Loss::Pause) {
        fleet.pause(owner);
    } else {
        fleet.crash(owner);
    }
}

/// One round: a fleet of five to nine hosts forms, its store goes down where asked, and the shard's owner is lost.
auto runRound(Loss loss, std::uint64_t seed, Outcome& outcome) -> void
{
    auto fleet = VirtualFleet(5 + seed % 5, seed, ProtocolRules());
    fleet.runFor(s_forming);
    fleet.faults().storeDown = loss == Loss::DeathStoreDown;
    fleet.runFor(s_settle + Milliseconds(fleet.random()() % 3'000));
    const auto owner = fleet.actor(s_shard);
    if (!owner) {
        ++outcome.never;
        return;
    }
    lose(fleet, loss, *owner);
    const auto took = fleet.runUntil(
        [&] {
            const auto actor = fleet.actor(s_shard);
            return actor && *actor != *owner;
        },
        s_limit);
    if (took) {
        outcome.seconds.push_back(static_cast<double>(took->count()) / 1'000);
    } else {
        ++outcome.never;
    }
    if (fleet.isPaused(*owner)) {
        fleet.resume(*owner);
    }
    fleet.runFor(s_settle);
    outcome.overlaps += fleet.overlaps();
}

auto measure(Loss loss, std::uint64_t seed) -> Outcome
{
    auto outcome = Outcome();
    for (auto round = std::uint64_t{0}; round < s_rounds; ++round) {
        runRound(loss, seed * s_rounds + round, outcome);
    }
    return outcome;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto seed = laburnummill::testing::readRunOptions(argc, argv).seed;
    auto up = measure(Loss::DeathStoreUp, seed);
    auto down = measure(Loss::DeathStoreDown, seed);
    auto graceful = measure(Loss::GracefulStop, seed);
    auto paused = measure(Loss::Pause, seed);
    const auto document = laburnummill::framework::Json{
        {"seed", seed},
        {"rounds_each", s_rounds},
        {"seconds_store_up_p99", up.p99()},
        {"seconds_store_down_p99", down.p99()},
        {"seconds_graceful_p99", graceful.p99()},
        {"seconds_pause_p99", paused.p99()},
        {"never_owned_again", up.never + down.never + graceful.never + paused.never},
        {"overlaps", up.overlaps + down.overlaps + graceful.overlaps + paused.overlaps},
    };
    std::cout << document.dump() << '\n';
    return 0;
}
