#include "peers/peertable.h"
#include "peers/heartbeatschedule.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace laburnummill::peers;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

namespace {

auto makeHeartbeat(const std::string& address, std::uint64_t incarnation, std::uint64_t sequence) -> messages::Heartbeat
{
    auto heartbeat = messages::Heartbeat();
    heartbeat.set_address(address);
    heartbeat.set_incarnation(incarnation);
    heartbeat.set_sequence(sequence);
    return heartbeat;
}

auto withAdmitted(messages::Heartbeat heartbeat, std::uint64_t admitted) -> messages::Heartbeat
{
    auto* use = heartbeat.add_accounts();
    use->set_account("pub");
    use->set_admitted(admitted);
    return heartbeat;
}

} // namespace

TEST_GROUP(PeerTable)
{
    PeerTable table{"10.0.0.1:1"};
    Instant now{Milliseconds(100'000)};
};

TEST(PeerTable, hostIsUnreachableAfterOneSecondWithoutHeartbeat)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now);
    CHECK_EQUAL(1U, table.reachablePeers(now + Milliseconds(900)).size());
    CHECK_EQUAL(0U, table.reachablePeers(now + Milliseconds(1'100)).size());
    DOUBLES_EQUAL(0.5, table.reachableFraction(now + Milliseconds(1'100)), 1e-9);
}

TEST(PeerTable, unreachableHostIsRemoved)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now);
    table.removeExpired(now + Milliseconds(14'000));
    CHECK_EQUAL(2, table.fleetSize());
    table.removeExpired(now + Milliseconds(16'000));
    CHECK_EQUAL(1, table.fleetSize());
    CHECK_FALSE(table.isKnown("10.0.0.2:1"));
}

TEST(PeerTable, removedHostReturnsAfterLongPartition)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now);
    table.removeExpired(now + Milliseconds(16'000));
    CHECK_EQUAL(1U, table.removedAddresses().size());
    CHECK_EQUAL(0U, table.targets("a", 1, now).direct.size());

    table.receive(makeHeartbeat("10.0.0.2:1", 5, 90), now + Milliseconds(60'000));
    CHECK_EQUAL(0U, table.removedAddresses().size());
    CHECK_EQUAL(1U, table.targets("a", 1, now).direct.size());
}

TEST(PeerTable, removedHostIsStillSightedWithItsIncarnationAndLastHeartbeat)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now);
    const auto later = now + Milliseconds(16'000);
    CHECK_EQUAL(1, table.countUnreachable({}, later));
    table.removeExpired(later);
    DOUBLES_EQUAL(1, table.reachableFraction(later), 1e-9);
    CHECK_EQUAL(1U, table.sightings().size());
    CHECK_EQUAL(5U, table.sightings().front().incarnation);
    CHECK_TRUE(table.sightings().front().heardAt == now);
}

TEST(PeerTable, hostThatIsReplacedByAnIncarnationLosesItsStateUnlessItHasEndedOrIsRegistered)
{
    const auto lostStateAt = [this](const std::string& address, bool isRegistered, bool hasEnded) {
        auto former = makeHeartbeat(address, 5, 1);
        former.set_is_registered(isRegistered);
        former.set_has_ended(hasEnded);
        table.receive(former, now);
        table.receive(makeHeartbeat(address, 6, 1), now + Milliseconds(100));
        for (const auto& sighting : table.sightings()) {
            if (sighting.address == address && sighting.incarnation == 6) {
                return sighting.lostStateAt;
            }
        }
        return Instant::max();
    };
    CHECK_TRUE(lostStateAt("10.0.0.2:1", false, false) == now + Milliseconds(100));
    CHECK_TRUE(lostStateAt("10.0.0.3:1", true, false) == Instant{});
    CHECK_TRUE(lostStateAt("10.0.0.4:1", false, true) == Instant{});
}

TEST(PeerTable, hostThatIsReplacedWhileItIsRemovedLosesItsStateAsWell)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now);
    const auto later = now + Milliseconds(16'000);
    table.removeExpired(later);
    table.receive(makeHeartbeat("10.0.0.2:1", 6, 1), later);
    CHECK_TRUE(table.sightings().front().lostStateAt == later);
}

TEST(PeerTable, suspectCountsAsUnreachableUnlessItIsLeaving)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now);
    CHECK_EQUAL(0, table.countUnreachable({}, now));
    const auto suspects = PeerTable::Suspects{{"10.0.0.2:1", now}};
    CHECK_EQUAL(1, table.countUnreachable(suspects, now));
    auto leaving = makeHeartbeat("10.0.0.2:1", 5, 2);
    leaving.set_is_leaving(true);
    table.receive(leaving, now);
    CHECK_EQUAL(0, table.countUnreachable(suspects, now + Milliseconds(5'000)));
}

TEST(PeerTable, leavingHostIsNotCounted)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now);
    auto leaving = makeHeartbeat("10.0.0.2:1", 5, 2);
    leaving.set_is_leaving(true);
    table.receive(leaving, now);
    DOUBLES_EQUAL(1, table.reachableFraction(now + Milliseconds(5'000)), 1e-9);
}

TEST(PeerTable, ignoresReorderedHeartbeats)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 2), now);
    CHECK_TRUE(table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now).isStale);
    CHECK_TRUE(table.receive(makeHeartbeat("10.0.0.2:1", 4, 9), now).isStale);
    CHECK_TRUE(table.receive(makeHeartbeat("10.0.0.1:1", 9, 9), now).isStale);
}

TEST(PeerTable, reportsAdmissionsSincePreviousHeartbeat)
{
    // Requests admitted before the first heartbeat are not reported.
    CHECK_EQUAL(0U, table.receive(withAdmitted(makeHeartbeat("10.0.0.2:1", 5, 1), 10), now).admitted.size());
    const auto update = table.receive(withAdmitted(makeHeartbeat("10.0.0.2:1", 5, 2), 13), now);
    CHECK_EQUAL(3, update.admitted.front().requests);

    // Accounts without changes are omitted.
    CHECK_EQUAL(0U, table.receive(makeHeartbeat("10.0.0.2:1", 5, 3), now).admitted.size());
    CHECK_EQUAL(1, table.receive(withAdmitted(makeHeartbeat("10.0.0.2:1", 5, 4), 14), now).admitted.front().requests);

    // The host restarts and counts from zero.
    CHECK_TRUE(table.receive(withAdmitted(makeHeartbeat("10.0.0.2:1", 6, 1), 0), now).isFirst);
    CHECK_EQUAL(2, table.receive(withAdmitted(makeHeartbeat("10.0.0.2:1", 6, 2), 2), now).admitted.front().requests);
}

TEST(PeerTable, firstAdmissionsOfAccountCountImmediately)
{
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 1), now);
    auto heartbeat = withAdmitted(makeHeartbeat("10.0.0.2:1", 5, 2), 500);
    heartbeat.mutable_accounts(0)->set_newly(3);
    CHECK_EQUAL(3, table.receive(heartbeat, now).admitted.front().requests);
    CHECK_EQUAL(2, table.receive(withAdmitted(makeHeartbeat("10.0.0.2:1", 5, 3), 502), now).admitted.front().requests);
}

TEST(PeerTable, restartedHostHasNotWrittenEarlierTurns)
{
    auto heartbeat = makeHeartbeat("10.0.0.2:1", 5, 1);
    heartbeat.set_unwritten_turns(1);
    table.receive(heartbeat, now);
    CHECK_FALSE(table.hasWrittenAllTurns("10.0.0.2:1", 5, now));
    table.receive(makeHeartbeat("10.0.0.2:1", 5, 2), now);
    CHECK_TRUE(table.hasWrittenAllTurns("10.0.0.2:1", 5, now));
    CHECK_FALSE(table.hasWrittenAllTurns("10.0.0.2:1", 5, now + Milliseconds(2'000)));
    table.receive(makeHeartbeat("10.0.0.2:1", 6, 1), now);
    CHECK_FALSE(table.hasWrittenAllTurns("10.0.0.2:1", 5, now));
    CHECK_TRUE(table.hasWrittenAllTurns("10.0.0.2:1", 6, now));
}

TEST(PeerTable, sumsRunningRequestsOfReachableHosts)
{
    for (const auto* address : {"10.0.0.2:1", "10.0.0.3:1"}) {
        auto heartbeat = makeHeartbeat(address, 5, 1);
        auto* use = heartbeat.add_backends();
        use->set_backend(backendHash("x"));
        use->set_running(2);
        table.receive(heartbeat, now);
    }
    CHECK_EQUAL(4, table.remoteBackendLoads(now)[backendHash("x")].running);
    CHECK_EQUAL(0U, table.remoteBackendLoads(now + Milliseconds(2'000)).size());
}

TEST_GROUP(LargeFleetHeartbeats)
{
    PeerTable table{"10.0.0.1:1"};
    Instant now{Milliseconds(100'000)};

    auto receiveHeartbeats(int first, int count, const char* dataCentre, Instant at)->void
    {
        for (auto number = first; number < first + count; ++number) {
            auto heartbeat =
                makeHeartbeat("10.0.1." + std::to_string(number) + ":1", 5, static_cast<std::uint64_t>(at.time_since_epoch().count()));
            heartbeat.set_data_centre(dataCentre);
            table.receive(heartbeat, at);
        }
    }
};

TEST(LargeFleetHeartbeats, goToWholeOwnDataCentreAndAlternateBetweenTwoRelays)
{
    receiveHeartbeats(0, 25, "a", now);
    receiveHeartbeats(30, 25, "b", now);
    receiveHeartbeats(60, 25, "c", now);
    const auto targets = table.targets("a", 1, now);
    CHECK_EQUAL(25U, targets.direct.size());
    CHECK_EQUAL(2U, targets.relays.size());
    CHECK_TRUE(targets.relays != table.targets("a", 2, now).relays);
    CHECK_TRUE(targets.relays == table.targets("a", 3, now).relays);
    CHECK_EQUAL(25U, table.addressesIn("b").size());
}

TEST(LargeFleetHeartbeats, replaceUnreachableRelaysAndProbeThemInTurn)
{
    receiveHeartbeats(30, 25, "b", now);
    const auto before = std::vector{table.targets("a", 0, now).relays.front(), table.targets("a", 1, now).relays.front()};
    const auto later = now + Milliseconds(1'500);
    for (auto number = 30; number < 55; ++number) {
        const auto address = "10.0.1." + std::to_string(number) + ":1";
        if (std::ranges::find(before, address) == before.end()) {
            receiveHeartbeats(number, 1, "b", later);
        }
    }
    for (auto sequence = std::uint64_t{0}; sequence < 2; ++sequence) {
        const auto after = table.targets("a", sequence, later).relays;
        CHECK_EQUAL(2U, after.size());
        CHECK_TRUE(std::ranges::find(before, after[0]) == before.end());
        CHECK_TRUE(std::ranges::find(before, after[1]) != before.end());
    }
    CHECK_TRUE(table.targets("a", 1, later).relays[1] != table.targets("a", 0, later).relays[1]);
}

TEST(LargeFleetHeartbeats, areSentLessOftenAndTimeOutLater)
{
    CHECK_EQUAL(200, heartbeatInterval(12).count());
    CHECK_EQUAL(380, heartbeatInterval(76).count());
    receiveHeartbeats(0, 200, "a", now);
    receiveHeartbeats(200, 30, "b", now);
    receiveHeartbeats(300, 150, "c", now);
    CHECK_EQUAL(1'905, heartbeatInterval(381).count());
    CHECK_EQUAL(380U, table.reachablePeers(now + Milliseconds(4'000)).size());
    CHECK_EQUAL(0U, table.reachablePeers(now + Milliseconds(5'000)).size());
}

TEST(PeerTable, aReleaseOfAllServersAddsAtMost260BytesToAHeartbeatAndEachServerIsReportedInTurn)
{
    auto servers = std::vector<std::uint64_t>();
    for (auto server = 0; server < 500; ++server) {
        servers.push_back(incarnationHash("server-" + std::to_string(server), 1));
    }
    auto reported = std::set<std::uint64_t>();
    for (auto sequence = std::uint64_t{1}; sequence <= 16; ++sequence) {
        auto heartbeat = makeHeartbeat("10.0.0.2:1", 5, sequence);
        const auto bytes = heartbeat.ByteSizeLong();
        addLeavingBackends(heartbeat, servers);
        CHECK_TRUE(heartbeat.ByteSizeLong() <= bytes + 260);
        table.receive(heartbeat, now);
        reported.merge(table.leavingBackends(now));
    }
    CHECK_EQUAL(500U, reported.size());
    // A hash names one incarnation; hosts without a recent heartbeat report nothing.
    CHECK_FALSE(reported.contains(incarnationHash("server-1", 2)));
    CHECK_EQUAL(0U, table.leavingBackends(now + Milliseconds(1'100)).size());
}
