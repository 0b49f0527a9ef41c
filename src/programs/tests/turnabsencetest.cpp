#include "programs/turnabsence.h"
#include "programs/tests/journalfleet.h"

#include <CppUTest/TestHarness.h>

// A turn that is found nowhere is denied only once no host can have held it in memory only.

using namespace laburnummill::programs;
using namespace laburnummill::programs::testing;
namespace peers = laburnummill::peers;
using laburnummill::framework::Instant;

TEST_GROUP(LostTurns)
{
    JournalFleet fleet{4};

    auto isDenied(std::size_t host, const std::string& id)->bool
    {
        const auto search = fleet.find(host, id);
        return !search.turn && search.isCertain;
    }
};

TEST(LostTurns, aTurnThatNeverWasIsDeniedWhileAllHostsAnswer)
{
    CHECK_TRUE(isDenied(0, "never"));
}

// Guards against the 404 of review/2: fewer than three restarts were taken as proof that no turn is lost.
TEST(LostTurns, aTurnThatOnlyAHostHeldThatWasCutOffAndLostPowerIsNotDenied)
{
    fleet.setCutOff(1, true);
    fleet.timeLimit = Milliseconds(300);
    CHECK_TRUE(fleet.commit(1, "t1") == CommitOutcome::NotStored);
    CHECK_FALSE(isDenied(0, "t1"));
    fleet.kill(1);
    CHECK_FALSE(isDenied(0, "t1"));
    fleet.restart(1);
    for (auto host = std::size_t{0}; host < 4; ++host) {
        CHECK_FALSE(isDenied(host, "t1"));
    }
}

TEST(LostTurns, programsGoOnBesideALostTurn)
{
    CHECK_TRUE(fleet.commit(0, "t0") == CommitOutcome::Stored);
    fleet.kill(1);
    fleet.restart(1);
    CHECK_TRUE(fleet.find(2, "t0").turn != nullptr);
    CHECK_TRUE(fleet.find(1, "t0").turn != nullptr);
}

TEST(LostTurns, aHostThatHasDepartedWithEverythingStoredLeavesNoDoubt)
{
    fleet.run([this]() -> Async<void> { CHECK_TRUE(co_await fleet.hosts[1]->hosts.leave()); });
    fleet.kill(1);
    CHECK_TRUE(isDenied(0, "never"));
    fleet.restart(1);
    CHECK_TRUE(isDenied(0, "never"));
}

TEST(LostTurns, theTurnsInTheQueueOfAHostAreFoundThere)
{
    fleet.store.isAway = true;
    fleet.timeLimit = Milliseconds(200);
    CHECK_TRUE(fleet.commit(0, "t1") == CommitOutcome::NotStored);
    CHECK_TRUE(fleet.find(3, "t1").turn != nullptr);
}

TEST_GROUP(TurnAbsence)
{
    AbsenceEvidence evidence{.registered = std::vector<records::HostRecord>(),
                             .sightings = {},
                             .answered = {{"own", 1}},
                             .now = Instant(std::chrono::hours(2)),
                             .startedAt = Instant(std::chrono::hours(1)),
                             .wallMilliseconds = 10'000'000,
                             .turnRetention = Milliseconds(70'000)};

    auto addRecord(const std::string& host, std::uint64_t incarnation)->records::HostRecord&
    {
        auto& record = evidence.registered->emplace_back();
        record.set_host(host);
        record.set_address(host + "-address");
        record.set_incarnation(incarnation);
        return record;
    }

    auto addSighting(const std::string& host, std::uint64_t incarnation)->peers::HostSighting&
    {
        return evidence.sightings.emplace_back(
            peers::HostSighting{.address = host + "-address", .host = host, .incarnation = incarnation, .heardAt = evidence.now});
    }
};

TEST(TurnAbsence, isUncertainWithoutTheRegister)
{
    evidence.registered.reset();
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::RegisterUnread);
}

// Guards against the host of entry mix-23 that took the few hosts that it had heard for all.
TEST(TurnAbsence, isUncertainWhileARegisteredHostThatThisOneHasNeverHeardDoesNotAnswer)
{
    addRecord("h2", 2).set_registered_at(evidence.wallMilliseconds - 1'000);
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::HostSilent);
    evidence.answered.emplace("h2-address", 2);
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::None);
}

TEST(TurnAbsence, doubtsEndWithTheRetentionOfTheTurnsThatAHostHasLost)
{
    auto& record = addRecord("h2", 2);
    evidence.answered.emplace("h2-address", 2);
    record.set_unaccounted_until(evidence.wallMilliseconds + 1);
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::HostLostState);
    evidence.wallMilliseconds += 1;
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::None);
}

TEST(TurnAbsence, doubtsEndTenMinutesAfterTheLastHeartbeatOfASilentHost)
{
    addRecord("h2", 2);
    addSighting("h2", 2);
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::HostSilent);
    evidence.now += std::chrono::minutes(11);
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::None);
}

TEST(TurnAbsence, aLaterIncarnationThatIsNotRegisteredDoesNotSpeakForTheRegisteredOne)
{
    addRecord("h2", 2);
    addSighting("h2", 3).startedAt = evidence.wallMilliseconds - 1'000;
    evidence.answered.emplace("h2-address", 3);
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::HostLostState);
}

TEST(TurnAbsence, aHostOfAnEarlierReleaseIsJudgedByItsHeartbeats)
{
    auto& sighting = addSighting("h2", 2);
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::HostSilent);
    evidence.answered.emplace("h2-address", 2);
    sighting.startedAt = evidence.wallMilliseconds - 1'000;
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::HostNotRegistered);
    sighting.isFirstStart = true;
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::None);
    sighting.lostStateAt = evidence.now - Milliseconds(1'000);
    CHECK_TRUE(judgeAbsence(evidence).doubt == AbsenceDoubt::HostLostState);
}

TEST(TurnAbsence, theRecordOfARestartKeepsTheDoubtsOfEarlierOnes)
{
    const auto identity = HostIdentity{.host = "h2", .address = "h2-address", .incarnation = 4, .dataCentre = "east"};
    auto former = records::HostRecord();
    former.set_unaccounted_until(50'000);
    former.set_has_departed(true);
    CHECK_EQUAL(50'000U, recordOfStart(identity, &former, 1'000, Milliseconds(10'000)).unaccounted_until());
    former.set_has_departed(false);
    CHECK_EQUAL(51'000U, recordOfStart(identity, &former, 41'000, Milliseconds(10'000)).unaccounted_until());
    CHECK_EQUAL(0U, recordOfStart(identity, nullptr, 41'000, Milliseconds(10'000)).unaccounted_until());
}
