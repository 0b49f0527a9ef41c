#include "store/routedstore.h"
#include "framework/global/manualclock.h"
#include "programs/tests/journalfleet.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill;
using namespace laburnummill::store;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

namespace {

/// Serves reads; writes end with an error after a time.
class BusyStore final : public IStore
{
public:
    explicit BusyStore(framework::ManualClock& clock)
        : m_clock(clock)
    {}

    auto transact(Transaction) -> AsyncResult<TransactionReply> override
    {
        ++writes;
        m_clock.advance(Milliseconds(700));
        if (onWrite) {
            onWrite();
        }
        co_return error;
    }

    auto list(ListRequest) -> AsyncResult<RowPage> override { co_return RowPage(); }

    StoreError error = StoreError::OutcomeUnknown;
    std::function<void()> onWrite;
    int writes = 0;

private:
    framework::ManualClock& m_clock;
};

} // namespace

TEST_GROUP(RoutedStore)
{
    framework::ManualClock clock;
    programs::testing::JournalFleet fleet{3};
    BusyStore busy{clock};
    StoreHealth health{clock};
    RoutedStore routed{busy, busy, health, fleet.hosts[0]->peers, clock};

    auto write(const std::string& partition = "t1")->void
    {
        fleet.run([this, partition]() -> Async<void> {
            const auto address = RowAddress{.table = "t", .partition = partition, .key = "k"};
            (void)co_await routed.transact({.conditions = {}, .puts = {{.address = address, .value = {}}}, .removals = {}});
        });
    }

    auto read(const std::string& partition = "t1")->void
    {
        fleet.run([this, partition]() -> Async<void> {
            (void)co_await routed.list({.table = "t", .partition = partition, .from = {}, .to = {}});
        });
    }

    auto isUsable(const std::string& partition = "t1")->bool
    {
        return routed.directWay().isUsable(partition, clock.now());
    }

    auto isSound()->bool
    {
        return routed.directWay().isSound(clock.now());
    }
};

// Guards against hosts of a large fleet that took one overloaded partition for a lost way to the store and repeated their calls through
// others.
TEST(RoutedStore, aPartitionWithTooManyCallsIsNoReasonToAvoidTheWay)
{
    busy.error = StoreError::Overloaded;
    busy.onWrite = [this] { routed.directWay().succeeded("t2", clock.now()); };
    write();
    CHECK_TRUE(isUsable());
    CHECK_TRUE(isSound());
}

TEST(RoutedStore, anAnswerThatIsLateWhileOthersArriveIsNoReasonEither)
{
    busy.onWrite = [this] { routed.directWay().succeeded("t2", clock.now()); };
    write();
    CHECK_TRUE(isUsable());
    CHECK_TRUE(isSound());
}

TEST(RoutedStore, aWayOnWhichNothingIsServedIsAvoided)
{
    for (const auto error : {StoreError::Overloaded, StoreError::OutcomeUnknown, StoreError::Unavailable}) {
        busy.error = error;
        clock.advance(Milliseconds(3'000));
        write();
        CHECK_FALSE(isUsable());
        clock.advance(Milliseconds(1'000));
        write();
        CHECK_FALSE(isSound());
        CHECK_FALSE(isUsable("t2"));
        clock.advance(Milliseconds(3'000));
        read();
        CHECK_TRUE(isSound());
        CHECK_TRUE(isUsable());
        clock.advance(Milliseconds(3'000));
    }
}

// Guards against the loss of review/11: hosts took one partition that is away for the loss of the whole way.
TEST(RoutedStore, aPartitionThatDoesNotAnswerBesideOthersIsNoReasonToAvoidThese)
{
    busy.error = StoreError::Unavailable;
    write("t1");
    CHECK_FALSE(isUsable("t1"));
    CHECK_TRUE(isUsable("t2"));
    CHECK_TRUE(isSound());
}

TEST(RoutedStore, callsToAPartitionThatIsAwayForAllHostsAreNotRepeatedByOthers)
{
    busy.error = StoreError::Unavailable;
    write("t1");
    read("t2");
    const auto before = busy.writes;
    clock.advance(Milliseconds(400));
    read("t2");
    write("t1");
    CHECK_EQUAL(before + 1, busy.writes);
    CHECK_EQUAL(0U, routed.relayedCalls());
}
