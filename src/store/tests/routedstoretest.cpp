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

    auto write()->void
    {
        fleet.run([this]() -> Async<void> {
            (void)co_await routed.transact({.conditions = {}, .puts = {{.address = {}, .value = {}}}, .removals = {}});
        });
    }

    auto read()->void
    {
        fleet.run([this]() -> Async<void> { (void)co_await routed.list({.table = "t", .partition = {}, .from = {}, .to = {}}); });
    }
};

// Guards against hosts of a large fleet that took one overloaded partition for a lost way to the store and repeated their calls through
// others.
TEST(RoutedStore, aPartitionWithTooManyCallsIsNoReasonToAvoidTheWay)
{
    busy.error = StoreError::Overloaded;
    busy.onWrite = [this] { routed.directWay().succeeded(clock.now()); };
    write();
    CHECK_TRUE(routed.directWay().isSound());
}

TEST(RoutedStore, anAnswerThatIsLateWhileOthersArriveIsNoReasonEither)
{
    busy.onWrite = [this] { routed.directWay().succeeded(clock.now()); };
    write();
    CHECK_TRUE(routed.directWay().isSound());
}

TEST(RoutedStore, aWayOnWhichNothingIsServedIsAvoided)
{
    for (const auto error : {StoreError::Overloaded, StoreError::OutcomeUnknown, StoreError::Unavailable}) {
        busy.error = error;
        clock.advance(Milliseconds(3'000));
        write();
        CHECK_FALSE(routed.directWay().isSound());
        clock.advance(Milliseconds(3'000));
        read();
        CHECK_TRUE(routed.directWay().isSound());
        clock.advance(Milliseconds(3'000));
    }
}
