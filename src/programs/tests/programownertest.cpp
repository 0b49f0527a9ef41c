#include "programs/internal/programowner.h"
#include "platform/platformerrors.h"
#include "programs/programerrors.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::programs;
using laburnummill::calls::CallAnswer;
using laburnummill::calls::CallFailure;
using laburnummill::calls::CallOutcome;
using laburnummill::calls::Ran;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;
using laburnummill::platform::PlatformError;

namespace {

class FakeLease final : public ILeases
{
public:
    auto fencingOf(const std::string& /*program*/) const -> std::optional<std::uint64_t> override { return fencing; }

    std::optional<std::uint64_t> fencing = 7;
};

template<class ActionType>
auto first(const Actions& actions) -> const ActionType*
{
    for (const auto& action : actions) {
        if (const auto* match = std::get_if<ActionType>(&action)) {
            return match;
        }
    }
    return nullptr;
}

auto failureCode(const Actions& actions) -> std::string
{
    const auto* answer = first<Answer>(actions);
    const auto* failure = answer == nullptr ? nullptr : std::get_if<CallFailure>(&answer->outcome);
    return failure == nullptr ? std::string() : failure->code;
}

} // namespace

TEST_GROUP(ProgramOwner)
{
    std::shared_ptr<FakeLease> lease = std::make_shared<FakeLease>();
    std::unique_ptr<ProgramOwner> owner;
    Moment moment{Instant(Milliseconds(1'000)), 1'000};

    auto setup()->void override
    {
        auto settings = OwnerSettings();
        settings.self = "host/1";
        owner = std::make_unique<ProgramOwner>(settings, lease);
        (void)owner->start(1, "dc.a", "account", moment);
        (void)owner->rowWritten("dc.a", std::uint64_t{1}, moment);
    }

    auto advance(int milliseconds)->void
    {
        moment.now += Milliseconds(milliseconds);
        moment.wallMs += static_cast<std::uint64_t>(milliseconds);
    }

    auto call(Ticket ticket, const std::string& name, std::uint32_t turn)->Actions
    {
        return owner->call(ticket, {"account", "dc.a", name, turn, "records", "{}", Milliseconds(60'000)}, moment);
    }

    auto finish(Ticket ticket)->Actions
    {
        auto answer = CallAnswer();
        answer.body = "answer " + std::to_string(ticket);
        return owner->callFinished(ticket, answer, moment);
    }

    auto commit(std::uint64_t version)->Actions
    {
        return owner->batchWritten(std::vector<std::uint64_t>{version}, moment);
    }
};

TEST(ProgramOwner, runsATurnOnlyAfterItsPredecessorIsCommitted)
{
    // The second call arrives first and waits.
    CHECK_TRUE(call(2, "second", 2).empty());
    CHECK_TRUE(first<RunCall>(call(1, "first", 1)) != nullptr);
    CHECK_TRUE(first<RunCall>(owner->tick(moment)) == nullptr);

    // The first call is answered only after its record is committed; then the second runs.
    const auto finished = finish(1);
    CHECK_TRUE(first<WriteBatch>(finished) != nullptr);
    CHECK_TRUE(first<Answer>(finished) == nullptr);
    const auto committed = commit(2);
    LONGS_EQUAL(1, first<Answer>(committed)->ticket);
    LONGS_EQUAL(2, first<RunCall>(committed)->ticket);
}

TEST(ProgramOwner, refusesATurnWhosePredecessorDoesNotArriveInTime)
{
    (void)call(2, "second", 2);
    advance(1'999);
    CHECK_TRUE(owner->tick(moment).empty());
    advance(1);
    STRCMP_EQUAL("turn_too_early", failureCode(owner->tick(moment)).c_str());
}

TEST(ProgramOwner, returnsTheFirstAnswerToARepeatedCall)
{
    // While the call runs, a repeated call joins it; afterwards a repeated call gets the stored answer.
    (void)call(1, "first", 1);
    CHECK_TRUE(call(2, "first", 1).empty());
    (void)finish(1);
    (void)commit(2);
    const auto repeated = call(3, "first", 1);
    const auto& answer = std::get<CallAnswer>(first<Answer>(repeated)->outcome);
    STRCMP_EQUAL("answer 1", answer.body.c_str());
    CHECK_TRUE(answer.repeated);

    // Another call cannot have the same turn.
    STRCMP_EQUAL("turn_passed", failureCode(call(4, "other", 1)).c_str());
}

TEST(ProgramOwner, refusesCallsAndCommitsWithoutALease)
{
    lease->fencing.reset();
    STRCMP_EQUAL("owner_unreachable", failureCode(call(1, "first", 1)).c_str());

    // If the lease expires during a call, the turn is not committed, and the caller is informed that the call ran.
    lease->fencing = 7;
    (void)call(2, "first", 1);
    lease->fencing.reset();
    const auto finished = finish(2);
    CHECK_TRUE(first<WriteBatch>(finished) == nullptr);
    CHECK_TRUE(std::get<CallFailure>(first<Answer>(finished)->outcome).ran == Ran::Yes);
}

TEST(ProgramOwner, resolvesAWriteOfUnknownOutcomeByReadingBack)
{
    (void)call(1, "first", 1);
    const auto batch = *first<WriteBatch>(finish(1));
    const auto unknown = owner->batchWritten(PlatformError::OutcomeUnknown, moment);
    CHECK_TRUE(first<ReadRows>(unknown) != nullptr);
    CHECK_TRUE(first<Answer>(unknown) == nullptr);

    auto rows = std::vector<std::optional<laburnummill::platform::Row>>();
    rows.push_back(laburnummill::platform::Row{rowKeyOf("dc.a"), *batch.rows.front().value, 2});
    const auto settled = owner->rowsRead(rows, moment);
    CHECK_TRUE(std::holds_alternative<CallAnswer>(first<Answer>(settled)->outcome));
}

TEST(ProgramOwner, refusesACallBeforeRunningItIfItsRecordCannotBeStored)
{
    // The store fails during the first turn, and there is no peer to hold its record.
    (void)call(1, "first", 1);
    (void)finish(1);
    (void)owner->batchWritten(PlatformError::Unavailable, moment);
    (void)owner->start(9, "dc.b", "account", moment);
    (void)owner->rowWritten("dc.b", std::uint64_t{5}, moment);
    const auto refused = owner->call(10, {"account", "dc.b", "first", 1, "records", "{}", Milliseconds(60'000)}, moment);
    STRCMP_EQUAL("history_unavailable", failureCode(refused).c_str());
    CHECK_TRUE(std::get<CallFailure>(first<Answer>(refused)->outcome).ran == Ran::No);

    // With two copies the first turn is answered and marked as held.
    const auto held = owner->recordHeld("dc.a", 1, 2, moment);
    CHECK_TRUE(std::get<CallAnswer>(first<Answer>(held)->outcome).held);
}

TEST(ProgramOwner, refusesAnIncompleteHistory)
{
    auto row = ProgramRow();
    row.account = "account";
    row.turns = 2;
    row.head = "not what the lines lead to";
    (void)owner->call(1, {"account", "dc.b", "third", 3, "records", "{}", Milliseconds(60'000)}, moment);
    const auto refused = owner->loaded("dc.b", LoadedProgram{row, 4, {}, {}}, moment);
    STRCMP_EQUAL("history_broken", failureCode(refused).c_str());
    CHECK_TRUE(std::get<CallFailure>(first<Answer>(refused)->outcome).ran == Ran::No);
    LONGS_EQUAL(1, owner->invariants().violations(Invariant::ChainComplete));
}

TEST(ProgramOwner, writesRecordsOfSeveralProgramsInOneBatch)
{
    (void)owner->start(9, "dc.b", "account", moment);
    (void)owner->rowWritten("dc.b", std::uint64_t{5}, moment);
    (void)call(1, "first", 1);
    (void)owner->call(2, {"account", "dc.b", "first", 1, "records", "{}", Milliseconds(60'000)}, moment);
    CHECK_TRUE(first<WriteBatch>(finish(1)) != nullptr);
    CHECK_TRUE(first<WriteBatch>(finish(2)) == nullptr);
    (void)call(3, "second", 2);
    const auto committed = commit(2);
    CHECK_TRUE(first<WriteBatch>(committed) == nullptr);
    (void)finish(3);

    // The next batch starts after the minimum interval, with all records queued until then.
    advance(50);
    LONGS_EQUAL(2, first<WriteBatch>(owner->tick(moment))->records);
}
