#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/fairsharepolicy.h"
#include "scheduling/internal/firstcomepolicy.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::scheduling;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;
using laburnummill::framework::Seconds;

TEST_GROUP(Dispatcher)
{
    Instant now{Seconds(1'000)};
    DispatcherSettings settings;
    Dispatcher dispatcher{std::make_unique<AdmissionRules>(settings), std::make_unique<FairSharePolicy>(FairShareWeights())};
    std::uint64_t number = 0;

    void setup() override
    {
        dispatcher.begin(now);
        dispatcher.configure({{"engine-1", 2, 1, false}}, now);
        dispatcher.finishRecovery(now);
    }

    auto report(const std::string& startId, bool cold, std::uint32_t running)->void
    {
        dispatcher.handleReport("engine-1", {startId, running, 0, cold, {}}, now);
    }

    auto reportFor(Milliseconds time, std::uint32_t running)->void
    {
        for (const auto end = now + time; now < end; now += Milliseconds(500)) {
            report("life-1", false, running);
        }
    }

    auto submit(Milliseconds timeout = Milliseconds(60'000), const std::string& account = "brewery")->PermitKey
    {
        const auto key = PermitKey{1, ++number};
        dispatcher.submit({key, account, {}, {}, {}, 100, now + timeout, false}, now);
        return key;
    }

    template<class Kind>
    auto count()->std::size_t
    {
        const auto actions = dispatcher.takeActions();
        return static_cast<std::size_t>(std::ranges::count_if(actions, [](const auto& one) { return std::holds_alternative<Kind>(one); }));
    }
};

TEST(Dispatcher, limitsAColdBackEndUntilItHasBeenHealthyLongEnough)
{
    now += settings.loadLag;
    report("life-1", false, 0);
    submit();
    submit();
    LONGS_EQUAL(1, count<Granted>());

    // After the minimum healthy time the second call may start.
    reportFor(settings.minHealthyTime + Milliseconds(500), 1);
    LONGS_EQUAL(1, count<Granted>());
}

TEST(Dispatcher, treatsABackEndAsColdAfterAResetOrARestart)
{
    now += settings.loadLag;
    reportFor(settings.minHealthyTime + Milliseconds(500), 0);
    const auto first = submit();
    LONGS_EQUAL(1, count<Granted>());

    // A lost connection marks the engine as cold.
    dispatcher.release(first, {PermitEnd::ConnectionFailed, 0, 0, 0}, now);
    submit();
    submit();
    LONGS_EQUAL(1, count<Granted>());

    // A report with a different start id also marks the engine as cold, even if the report states that it is warm.
    reportFor(settings.minHealthyTime + Milliseconds(500), 1);
    LONGS_EQUAL(1, count<Granted>());
    report("life-2", false, 0);
    submit();
    LONGS_EQUAL(0, count<Granted>());
}

TEST(Dispatcher, refusesAtOnceWhenTheOnlyBackEndIsDrained)
{
    now += settings.recoveryTime;
    report("life-1", false, 0);
    dispatcher.configure({{"engine-1", 2, 1, true}}, now);
    submit();
    const auto actions = dispatcher.takeActions();
    LONGS_EQUAL(1, actions.size());
    CHECK_TRUE(std::get<Refused>(actions.front()).error == SchedulingError::NoBackend);
    CHECK_TRUE(std::get<Refused>(actions.front()).retryAfter > Milliseconds(0));
}

TEST(Dispatcher, restoresPermitsFromPeersAndCountsOrphanedRequests)
{
    const auto open = OpenPermit{{{7, 1}, "brewery", {}, {}, {}, 100, now + Seconds(60), false}, "engine-1", "life-1", true};
    dispatcher.reconcilePermits(7, {open}, now);
    now += settings.loadLag;

    // Two requests run, one of them without a permit: a warm engine with two slots is full.
    report("life-1", false, 2);
    submit();
    LONGS_EQUAL(0, count<Granted>());

    // The request without a permit has ended. Its slot becomes free only after the time in which executor deaths are detected.
    reportFor(settings.deathDetectionTime - Seconds(1), 1);
    LONGS_EQUAL(0, count<Granted>());
    reportFor(2 * settings.deathDetectionTime, 1);
    LONGS_EQUAL(1, count<Granted>());
}

TEST(Dispatcher, refusesAtOnceACallThatCannotStartBeforeItsDeadline)
{
    now += settings.loadLag;
    report("life-1", false, 0);
    submit();
    count<Granted>();
    submit(Milliseconds(1'000));
    const auto actions = dispatcher.takeActions();
    LONGS_EQUAL(1, actions.size());
    CHECK_TRUE(std::get<Refused>(actions.front()).error == SchedulingError::DeadlineExceeded);
    LONGS_EQUAL(0, dispatcher.waiting());
}

TEST(Dispatcher, refusesFromTheLongestQueueWhenTheQueueBoundIsExceeded)
{
    now += settings.loadLag;
    report("life-1", false, 0);
    submit();
    for (auto index = std::uint32_t{0}; index < settings.queuePerSlot; ++index) {
        submit(Seconds(3'600));
    }
    count<Granted>();
    const auto small = submit(Seconds(3'600), "small-pub");
    const auto actions = dispatcher.takeActions();
    LONGS_EQUAL(1, actions.size());
    CHECK_TRUE(std::get<Refused>(actions.front()).error == SchedulingError::QueueFull);
    CHECK_TRUE(std::get<Refused>(actions.front()).key != small);
}

TEST(Dispatcher, sendsACallToAnotherDataCentreWhenThatIsFaster)
{
    now += settings.loadLag;
    report("life-1", false, 0);
    submit();
    count<Granted>();
    dispatcher.setPeerDispatchers({{"dc-2", Milliseconds(0), true}});
    submit();
    LONGS_EQUAL(1, count<Overflowed>());

    // A call redirected from another data centre is not redirected again.
    dispatcher.submit({{1, ++number}, "brewery", {}, {}, {}, 100, now + Seconds(60), true}, now);
    LONGS_EQUAL(0, count<Overflowed>());
}

TEST(Dispatcher, countsThePermitsOfADeadExecutorUntilTheyExpire)
{
    now += settings.loadLag;
    report("life-1", false, 0);
    submit(Seconds(10));
    LONGS_EQUAL(1, count<Granted>());
    dispatcher.markHolderDead(1, now);
    LONGS_EQUAL(1, dispatcher.openPermits());
    dispatcher.submit({{2, 1}, "brewery", {}, {}, {}, 100, now + Seconds(60), false}, now);
    LONGS_EQUAL(0, count<Granted>());
    now += Seconds(10) + settings.permitGrace;
    report("life-1", false, 1);
    dispatcher.tick(now);
    LONGS_EQUAL(1, count<Granted>());
}

TEST(Dispatcher, keepsAProgramOnTheEngineThatCachesItUnlessAnotherIsFaster)
{
    dispatcher.configure({{"engine-1", 2, 2, false}, {"engine-2", 2, 2, false}}, now);
    now += settings.loadLag;
    report("life-1", false, 0);
    dispatcher.handleReport("engine-2", {"life-1", 0, 0, false, {}}, now);
    const auto call = [this](std::uint64_t promptTokens) {
        const auto key = PermitKey{1, ++number};
        dispatcher.submit({key, "brewery", "roof", {}, {}, promptTokens, now + Seconds(60), false}, now);
        const auto actions = dispatcher.takeActions();
        return actions.empty() ? std::string("waits") : std::get<Granted>(actions.front()).permit.engine;
    };
    const auto home = call(20'000);
    now += Milliseconds(500);
    dispatcher.release({1, number}, {PermitEnd::Finished, 20'000, 0, 200}, now);
    now += Seconds(3);
    STRCMP_EQUAL(home.c_str(), call(21'000).c_str());

    // When the engine is full, the next call waits for it because it caches the prompt. After the cached tokens are evicted, the
    // call runs on the other engine.
    STRCMP_EQUAL(home.c_str(), call(22'000).c_str());
    STRCMP_EQUAL("waits", call(23'000).c_str());
    dispatcher.cacheChanged(home, "roof", 0);
    dispatcher.tick(now);
    const auto actions = dispatcher.takeActions();
    LONGS_EQUAL(1, actions.size());
    CHECK_TRUE(std::get<Granted>(actions.front()).permit.engine != home);
}

TEST(Dispatcher, endsPermitsThatTheirExecutorNoLongerReports)
{
    now += settings.loadLag;
    report("life-1", false, 0);
    submit();
    count<Granted>();
    dispatcher.reconcilePermits(1, {}, now);
    LONGS_EQUAL(0, dispatcher.openPermits());
    CHECK_TRUE(dispatcher.checkConsistency());
}
