#include "programs/outagegrants.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::programs;

namespace {

constexpr auto s_turn = std::uint64_t{280};
constexpr auto s_budget = 20 * s_turn;

} // namespace

TEST_GROUP(OutageGrants)
{
    OutageGrants grants{s_budget, s_turn, TurnHistory::KeptByHosts};
};

TEST(OutageGrants, ofAllGroupsOfAFleetAddUpToOneTurnBesideThatOfAMajority)
{
    for (const auto hosts : {2U, 9U, 12U, 79U, 295U}) {
        for (auto first = 1U; first < hosts; ++first) {
            const auto rest = hosts - first;
            const auto larger = std::max(first, rest);
            const auto fleet = FleetView{.hosts = hosts, .unreachable = rest};
            const auto granted = grants.limit(first, hosts, false) + grants.limit(rest, hosts, false);
            const auto allowed = s_turn + (2 * larger > hosts ? s_budget / 4 : 0);
            CHECK_TRUE(granted <= allowed);
            // What the other group may have granted beyond a turn is kept back.
            CHECK_TRUE(grants.limit(rest, hosts, false) <= grants.possiblyGranted(fleet) + s_turn);
        }
    }
}

TEST(OutageGrants, nothingIsKeptBackForAMinorityOfUnreachableHosts)
{
    CHECK_EQUAL(0U, grants.possiblyGranted({.hosts = 4, .unreachable = 1}));
    CHECK_EQUAL(0U, grants.possiblyGranted({.hosts = 4, .unreachable = 2}));
    CHECK_EQUAL(s_budget / 4, grants.possiblyGranted({.hosts = 4, .unreachable = 3}));
}

TEST(OutageGrants, ofASilentHostCountIfMostHostsMaySupportIt)
{
    CHECK_EQUAL(0U, grants.possiblyGrantedBy(0, {.hosts = 9, .unreachable = 4}));
    CHECK_EQUAL(0U, grants.possiblyGrantedBy(3, {.hosts = 9, .unreachable = 1}));
    CHECK_EQUAL(s_budget / 4, grants.possiblyGrantedBy(3, {.hosts = 9, .unreachable = 2}));
}

TEST(OutageGrants, toProgramsWhoseHistoryCallersSendOrWithARowOrASmallBudgetAreOneTurns)
{
    CHECK_EQUAL(s_turn, OutageGrants(s_budget, s_turn, TurnHistory::SentByCaller).limit(9, 9, false));
    CHECK_EQUAL(s_turn, grants.limit(9, 9, true));
    CHECK_EQUAL(s_turn, OutageGrants(4 * s_turn, s_turn, TurnHistory::KeptByHosts).limit(9, 9, false));
}
