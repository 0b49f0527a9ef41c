#include "store/groupedstore.h"
#include "framework/global/systemclock.h"
#include "programs/tests/journalfleet.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill;
using namespace laburnummill::store;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

namespace {

namespace asio = boost::asio;

/// Loses writes or their answers: the connection stays open, without an answer.
class LossyStore final : public IStore
{
public:
    auto transact(Transaction transaction) -> AsyncResult<TransactionReply> override
    {
        ++writes;
        const auto isLost = writes <= lostWrites;
        auto reply = framework::Result<TransactionReply>(TransactionReply());
        if (!isLost || areLostWritesDone) {
            reply = co_await m_store.transact(std::move(transaction));
        }
        if (isLost) {
            auto pause = asio::steady_timer(co_await asio::this_coro::executor, Milliseconds(2'000));
            co_await pause.async_wait(asio::use_awaitable);
            co_return StoreError::OutcomeUnknown;
        }
        co_return reply;
    }

    auto list(ListRequest request) -> AsyncResult<RowPage> override { co_return co_await m_store.list(std::move(request)); }

    auto rows() const -> std::size_t { return m_store.rows.size(); }

    int lostWrites = 0;
    bool areLostWritesDone = false;
    int writes = 0;

private:
    programs::testing::LimitedStore m_store;
};

} // namespace

TEST_GROUP(GroupedStore)
{
    programs::testing::JournalFleet fleet{1};
    asio::io_context& context = fleet.context;
    framework::SystemClock clock;
    framework::Metrics metrics;
    StoreHealth health{clock};
    LossyStore lossy;
    GroupedStore grouped{context.get_executor(), lossy, health, fleet.hosts[0]->peers, clock, metrics};

    auto claim()->TransactionReply
    {
        const auto address = RowAddress{.table = "programs", .partition = "t1", .key = "p1"};
        auto reply = TransactionReply();
        fleet.run([&]() -> Async<void> {
            const auto result = co_await grouped.transact({.conditions = {{.address = address, .version = s_absentRow}},
                                                           .puts = {{.address = address, .value = "claim"}},
                                                           .removals = {}});
            reply = result ? result.value() : TransactionReply();
        });
        return reply;
    }
};

TEST(GroupedStore, aWriteWhoseAnswerIsLostIsReadBack)
{
    lossy.lostWrites = 1;
    lossy.areLostWritesDone = true;
    const auto startedAt = clock.now();
    const auto reply = claim();
    CHECK_TRUE(reply.isApplied);
    CHECK_EQUAL(1U, reply.version);
    CHECK_EQUAL(1, lossy.writes);
    CHECK_TRUE(clock.now() < startedAt + Milliseconds(500));
}

TEST(GroupedStore, aWriteThatIsLostIsRepeated)
{
    lossy.lostWrites = 3;
    const auto startedAt = clock.now();
    CHECK_TRUE(claim().isApplied);
    CHECK_EQUAL(4, lossy.writes);
    CHECK_EQUAL(1U, lossy.rows());
    CHECK_TRUE(clock.now() < startedAt + Milliseconds(1'500));
}
