#include "programs/alternategrants.h"

#include "framework/global/systemclock.h"
#include "programs/alternatepartitions.h"
#include "programs/tests/limitedstore.h"

#include <CppUTest/TestHarness.h>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>

// Grants of tokens that are recorded outside the partition of their program's row.

using namespace laburnummill::programs;
using namespace laburnummill::programs::testing;
namespace store = laburnummill::store;
using laburnummill::framework::SystemClock;

namespace {

/// Knows which partitions of a store are away.
class KnownStatus final : public store::IStoreStatus
{
public:
    explicit KnownStatus(const LimitedStore& store)
        : m_store(store)
    {}

    auto state(std::string_view partition) const -> store::StoreState override
    {
        return m_store.awayPartitions.contains(std::string(partition)) ? store::StoreState::Away : store::StoreState::Prompt;
    }

    auto isAwayAlone(std::string_view partition) const -> bool override { return state(partition) == store::StoreState::Away; }

    auto awaitReturn(Milliseconds) -> Async<void> override { co_return; }

private:
    const LimitedStore& m_store;
};

struct Recorder
{
    Recorder(asio::io_context& context, LimitedStore& rows, KnownStatus& status, const SystemClock& clock, std::string host,
             std::uint64_t incarnation)
        : table(context.get_executor(), clock, std::move(host), incarnation)
        , grants(context.get_executor(), table, rows, status, clock)
    {}

    ProgramTable table;
    AlternateGrants grants;
};

} // namespace

TEST_GROUP(AlternateGrants)
{
    asio::io_context context;
    SystemClock clock;
    LimitedStore rows;
    KnownStatus status{rows};
    ProgramKey key{.account = "pub", .program = "p1"};
    Recorder first{context, rows, status, clock, "host-1", 1};
    Recorder restarted{context, rows, status, clock, "host-1", 2};

    void setup() override
    {
        rows.awayPartitions.insert(partitionName(partitionOf(key)));
        restarted.grants.expectEarlierGrants();
    }

    auto finish(Async<void> work)->void
    {
        asio::co_spawn(context, std::move(work), asio::detached);
        context.restart();
        context.run();
    }

    auto grant(Recorder & recorder, std::uint64_t tokens)->bool
    {
        auto isRecorded = false;
        const auto program = recorder.table.program(key);
        program->budget = 1'000;
        program->unrecordedTokens += tokens;
        program->holding.grant(tokens);
        finish([&]() -> Async<void> { isRecorded = co_await recorder.grants.record(key, program); }());
        return isRecorded;
    }

    auto read(Recorder & recorder)->void
    {
        finish(recorder.grants.read());
    }

    auto unclaimed(Recorder & recorder)->std::uint64_t
    {
        const auto program = recorder.table.program(key);
        program->budget = 1'000;
        program->isRowKnown = true;
        return recorder.table.unclaimedTokens(*program);
    }
};

TEST(AlternateGrants, aHostThatHasLostItsMemoryReadsWhatItHasGranted)
{
    CHECK_TRUE(grant(first, 100));
    CHECK_FALSE(restarted.grants.areAllKnown());
    read(restarted);
    CHECK_EQUAL(900U, unclaimed(restarted));
}

TEST(AlternateGrants, onlyTheLatestOfSeveralWritesCounts)
{
    CHECK_TRUE(grant(first, 100));
    CHECK_TRUE(grant(first, 50));
    read(restarted);
    CHECK_EQUAL(850U, unclaimed(restarted));
}

TEST(AlternateGrants, areNotAllKnownWhileAPartitionIsAway)
{
    read(restarted);
    CHECK_FALSE(restarted.grants.areAllKnown());

    rows.awayPartitions.clear();
    read(restarted);
    CHECK_TRUE(restarted.grants.areAllKnown());
}

TEST(AlternateGrants, aHostThatHasItsMemoryReadsNothing)
{
    CHECK_TRUE(first.grants.areAllKnown());
}

TEST(AlternateGrants, thatNoPartitionTakesAreNotRecorded)
{
    for (const auto& partition : alternatesOf(partitionOf(key))) {
        rows.awayPartitions.insert(partitionName(partition));
    }
    CHECK_FALSE(grant(first, 100));
}

TEST(AlternateGrants, expireWithTheTurnsOfTheirPrograms)
{
    CHECK_TRUE(grant(first, 100));
    restarted.grants.setRetention(Milliseconds(-1'000));
    read(restarted);
    CHECK_EQUAL(1'000U, unclaimed(restarted));

    finish(restarted.grants.removeDispensable());
    CHECK_EQUAL(0U, rows.rows.size());
}

TEST(AlternateGrants, aRowThatCannotBeReadDoesNotHideTheOthers)
{
    CHECK_TRUE(grant(first, 100));
    auto broken = rows.rows.begin()->second;
    broken.address.key = "0" + broken.address.key;
    broken.value = "\xff\xff not a record";
    rows.rows[broken.address] = broken;
    read(restarted);
    CHECK_EQUAL(900U, unclaimed(restarted));
}
