#include "rollouts/rolloutplan.h"
#include "rollouts/versionfilter.h"

#include <algorithm>
#include <functional>
#include <random>

#include <CppUTest/TestHarness.h>

using namespace laburnummill::rollouts;
using laburnummill::backends::Backend;
using laburnummill::backends::BackendPtr;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

/// Bounds of the users' rules.
constexpr auto s_exposureRatio = 0.1;
constexpr auto s_exposureSlack = 50.0;
constexpr auto s_badResponses = 50;
constexpr auto s_rollbackTime = Milliseconds(5'000);

constexpr auto s_duration = Milliseconds(12'000);
constexpr auto s_tick = Milliseconds(100);
constexpr auto s_reportAge = Milliseconds(500);
constexpr auto s_servers = 12;

/// Probability of a bad response by version, route and time since the order.
struct History
{
    std::function<double(bool isNew, int route, int server, Milliseconds time)> badShare;
    double requestsPerSecond = 400;
};

struct Outcome
{
    RolloutStage stage = RolloutStage::Waiting;
    double exposure = 0; ///< requests to the new version
    double requests = 0;
    Milliseconds badSince{-1}; ///< when the new version had s_badResponses bad responses
    Milliseconds endedAt{-1};
};

/// Plays one rollout with two routes on virtual time. Hosts act on reports that are half a second old.
auto play(const History& history, std::uint64_t seed) -> Outcome
{
    auto random = std::mt19937_64(seed);
    auto evidence = VersionEvidence();
    auto counts = OutcomeCounts();
    auto reports = std::vector<OutcomeCounts>();
    auto outcome = Outcome();
    auto view = RolloutView{.duration = s_duration, .newServers = s_servers};
    auto bad = 0;
    auto stageAt = Milliseconds(0);
    for (auto time = Milliseconds(0); time < s_duration && !isFinal(view.stage); time += s_tick) {
        auto requests = std::poisson_distribution(history.requestsPerSecond * s_tick.count() / 1'000)(random);
        for (; requests > 0; --requests) {
            const auto isNew = std::uniform_real_distribution()(random) < shareOf(view.stage);
            const auto route = static_cast<int>(random() % 2);
            const auto used = view.stage == RolloutStage::Canary ? 4 : s_servers;
            const auto server = static_cast<int>(random() % used);
            const auto isBad = std::uniform_real_distribution()(random) < history.badShare(isNew, route, server, time);
            auto& ofRoute = counts[static_cast<std::uint32_t>(route)];
            countResponse(isNew ? ofRoute.newVersion : ofRoute.oldVersion, std::to_string(server), isBad);
            outcome.requests += 1;
            outcome.exposure += isNew ? 1 : 0;
            bad += isNew && isBad ? 1 : 0;
        }
        if (bad >= s_badResponses && outcome.badSince.count() < 0) {
            outcome.badSince = time;
        }
        reports.push_back(counts);
        const auto delay = static_cast<std::size_t>(s_reportAge / s_tick);
        if (reports.size() > delay) {
            evidence.record("fleet", 1, reports[reports.size() - 1 - delay]);
        }
        view.verdict = evidence.evaluate(Instant(time + s_duration));
        view.newResponses = evidence.newResponses();
        view.sinceOrder = time;
        view.sinceStage = time - stageAt;
        view.oldVersionIdleFor =
            view.stage == RolloutStage::Full ? std::max(view.sinceStage - Milliseconds(400), Milliseconds(0)) : Milliseconds(0);
        if (const auto change = nextStage(view)) {
            view.stage = change->stage;
            stageAt = time;
            outcome.endedAt = time;
        }
    }
    outcome.stage = view.stage;
    // Traffic goes on at the same rate until the time limit.
    outcome.requests += history.requestsPerSecond * std::chrono::duration<double>(s_duration - outcome.endedAt).count();
    return outcome;
}

auto rolledBackOf(const History& history, int histories) -> int
{
    auto rolledBack = 0;
    for (auto seed = 1; seed <= histories; ++seed) {
        rolledBack += play(history, static_cast<std::uint64_t>(seed)).stage == RolloutStage::RolledBack ? 1 : 0;
    }
    return rolledBack;
}

} // namespace

// clang-format off
TEST_GROUP(RolloutDecision)
{
    static constexpr auto s_histories = 400;

    /// Checks the bounds on a bad version in all histories.
    static auto checkBadVersion(const History& history) -> void
    {
        for (auto seed = 1; seed <= s_histories; ++seed) {
            const auto outcome = play(history, static_cast<std::uint64_t>(seed));
            CHECK_TRUE(outcome.stage == RolloutStage::RolledBack);
            CHECK_TRUE(outcome.exposure <= outcome.requests * s_exposureRatio + s_exposureSlack);
            CHECK_TRUE(outcome.badSince.count() < 0 || outcome.endedAt <= outcome.badSince + s_rollbackTime);
        }
    }

    /// Checks that at most one in a hundred rollouts of a good version is rolled back, and that the others end in time.
    static auto checkGoodVersion(const History& history) -> void
    {
        CHECK_TRUE(rolledBackOf(history, s_histories) <= s_histories / 100);
        for (auto seed = 1; seed <= s_histories; ++seed) {
            const auto outcome = play(history, static_cast<std::uint64_t>(seed));
            CHECK_TRUE(isFinal(outcome.stage));
        }
    }
};
// clang-format on

TEST(RolloutDecision, goodVersionsAreRolledOutWhateverDisturbsBothVersions)
{
    // On a calm day.
    checkGoodVersion({.badShare = [](bool, int, int, Milliseconds) { return 0.01; }});
    // While a tenth of all requests fails.
    checkGoodVersion({.badShare = [](bool, int, int, Milliseconds) { return 0.1; }});
    // In a burst that makes a third of all responses slow for three seconds.
    checkGoodVersion({.badShare = [](bool, int, int, Milliseconds time) {
        return time >= Milliseconds(2'000) && time < Milliseconds(5'000) ? 0.33 : 0.01;
    }});
    // While one of its servers fails half of its requests.
    checkGoodVersion({.badShare = [](bool isNew, int, int server, Milliseconds) { return isNew && server == 0 ? 0.5 : 0.01; }});
}

TEST(RolloutDecision, badVersionsAreRolledBackWithinTheBounds)
{
    // Bad from the start.
    checkBadVersion({.badShare = [](bool isNew, int, int, Milliseconds) { return isNew ? 0.35 : 0.01; }});
    // Bad on one route only.
    checkBadVersion({.badShare = [](bool isNew, int route, int, Milliseconds) { return isNew && route == 1 ? 0.4 : 0.01; }});
    // Bad later.
    checkBadVersion(
        {.badShare = [](bool isNew, int, int, Milliseconds time) { return isNew && time > Milliseconds(3'000) ? 0.35 : 0.01; }});
    // Each response slow.
    checkBadVersion({.badShare = [](bool isNew, int, int, Milliseconds) { return isNew ? 0.9 : 0.02; }, .requestsPerSecond = 100});
    // A tenth of the responses.
    checkBadVersion({.badShare = [](bool isNew, int, int, Milliseconds) { return isNew ? 0.15 : 0.01; }, .requestsPerSecond = 800});
}

TEST(RolloutDecision, ordersThatCannotBeCarriedOutMoveNothing)
{
    const auto reasonOf = [](const RolloutView& view) { return nextStage(view).value_or(StageChange()).reason; };
    CHECK_TRUE(reasonOf({.duration = s_duration, .isServiceKnown = false}) == RolloutReason::InvalidOrder);
    CHECK_TRUE(reasonOf({.duration = Milliseconds(0), .newServers = 3}) == RolloutReason::InvalidOrder);
    CHECK_TRUE(reasonOf({.sinceOrder = s_duration, .duration = s_duration}) == RolloutReason::NoServers);
    CHECK_FALSE(nextStage({.sinceOrder = Milliseconds(1'000), .duration = s_duration}).has_value());
}

// clang-format off
TEST_GROUP(VersionFilter)
{
    Instant now{Milliseconds(100'000)};
    VersionFilter filter;
    std::vector<BackendPtr> servers;

    auto add(const std::string& version, int count) -> void
    {
        for (auto number = 0; number < count; ++number) {
            auto& server = servers.emplace_back(std::make_shared<Backend>());
            server->entry.id = version + "-" + std::to_string(number);
            server->entry.version = version;
        }
        filter.observe(servers, now);
    }

    /// Share of chains that may use the new version.
    auto newShare(bool isRetry = false) const -> double
    {
        auto onNew = 0;
        for (auto chain = 0; chain < 2'000; ++chain) {
            const auto allowed = filter.allowed(servers, std::to_string(chain), isRetry);
            onNew += std::ranges::any_of(allowed, [](const auto& server) { return server->entry.version == "v2"; }) ? 1 : 0;
        }
        return onNew / 2'000.0;
    }

    auto enter(RolloutStage stage) -> void { filter.setProgress({.order = 7, .version = "v2", .stage = stage}, now); }
};
// clang-format on

TEST(VersionFilter, aVersionGetsItsShareOfTheRequestsAndNoneOnceItIsRolledBack)
{
    // Its servers are known before the order.
    add("v1", 10);
    now += Milliseconds(1'000);
    add("v2", 10);
    DOUBLES_EQUAL(0, newShare(), 0);
    // The order, then stage by stage.
    enter(RolloutStage::Waiting);
    now += Milliseconds(5'000);
    DOUBLES_EQUAL(0, newShare(), 0);
    enter(RolloutStage::Canary);
    DOUBLES_EQUAL(shareOf(RolloutStage::Canary), newShare(), 0.02);
    DOUBLES_EQUAL(0, newShare(true), 0);
    enter(RolloutStage::Raised);
    DOUBLES_EQUAL(shareOf(RolloutStage::Raised), newShare(), 0.03);
    enter(RolloutStage::Full);
    DOUBLES_EQUAL(1, newShare(), 0);
    enter(RolloutStage::RolledBack);
    DOUBLES_EQUAL(0, newShare(), 0);
    // Until the servers of the new version are gone, and afterwards.
    now += Milliseconds(60'000);
    DOUBLES_EQUAL(0, newShare(), 0);
}

TEST(VersionFilter, onceDoneOnlyTheOrderedVersionIsUsed)
{
    add("v1", 3);
    add("v2", 3);
    enter(RolloutStage::Done);
    now += Milliseconds(5'000);
    add("v3", 3); // Without an order, or before it.
    CHECK_EQUAL(3U, filter.allowed(servers, "chain", false).size());
    DOUBLES_EQUAL(1, newShare(), 0);
}

TEST(VersionFilter, aVersionWithoutAnOrderIsUsedOnlyOnceNoServerOfTheServingVersionIsLeft)
{
    add("v1", 3);
    add("v2", 3);
    now += Milliseconds(60'000);
    filter.observe(servers, now);
    DOUBLES_EQUAL(0, newShare(), 0);
    // All servers are replaced.
    std::erase_if(servers, [](const auto& server) { return server->entry.version == "v1"; });
    now += Milliseconds(10'000);
    filter.observe(servers, now);
    DOUBLES_EQUAL(0, newShare(), 0);
    now += Milliseconds(25'000);
    filter.observe(servers, now);
    DOUBLES_EQUAL(1, newShare(), 0);
}

TEST(VersionFilter, otherVersionsGetNothingDuringARollout)
{
    add("v1", 3);
    add("v2", 3);
    add("v3", 3); // A second order for it was refused.
    for (const auto stage : {RolloutStage::Waiting, RolloutStage::Canary, RolloutStage::Full, RolloutStage::RolledBack}) {
        enter(stage);
        for (auto chain = 0; chain < 200; ++chain) {
            const auto allowed = filter.allowed(servers, std::to_string(chain), false);
            CHECK_TRUE(std::ranges::none_of(allowed, [](const auto& server) { return server->entry.version == "v3"; }));
        }
    }
}

TEST(VersionFilter, aVersionThatWasRolledBackGetsNothingDuringTheNextRollout)
{
    add("v1", 3);
    add("v2", 3);
    enter(RolloutStage::Canary);
    enter(RolloutStage::RolledBack);
    add("v3", 3);
    filter.setProgress({.order = 8, .version = "v3"}, now);
    DOUBLES_EQUAL(0, newShare(), 0);
}

TEST(VersionFilter, anOrderForTheServingVersionChangesNothing)
{
    add("v2", 3);
    for (const auto stage : {RolloutStage::Waiting, RolloutStage::Canary}) {
        enter(stage);
        DOUBLES_EQUAL(1, newShare(), 0);
    }
    CHECK_TRUE(nextStage({.duration = s_duration, .isAlreadyServing = true}).value_or(StageChange()).stage == RolloutStage::Done);
}

TEST(VersionFilter, theStateInTheStoreTellsWhichVersionServed)
{
    add("v2", 3); // The host was started in the middle of the rollout and knows these first.
    add("v1", 3);
    filter.setProgress({.order = 7, .version = "v2", .stage = RolloutStage::RolledBack, .formerVersion = "v1"}, now);
    DOUBLES_EQUAL(0, newShare(), 0);
}
