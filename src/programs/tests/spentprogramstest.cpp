#include "programs/spentprograms.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::programs;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;
using laburnummill::framework::Seconds;

TEST_GROUP(SpentPrograms)
{
    SpentPrograms here;
    SpentPrograms there;
    Instant now{Seconds(100)};
    ProgramKey key{.account = "pub", .program = "p1"};
};

TEST(SpentPrograms, areKnownToOtherHostsForAMinuteAndSomeSeconds)
{
    here.record(key, now);
    there.merge(here.reports(1, now), now);
    CHECK_TRUE(there.contains(key, now + Seconds(69)));
    CHECK_FALSE(there.contains(key, now + Seconds(71)));
    CHECK_FALSE(there.contains({.account = "brewery", .program = "p1"}, now));
    there.removeExpired(now + Seconds(71));
    CHECK_EQUAL(0U, there.reports(20, now + Seconds(60)).size());
}

// Guards against a program that returns after all hosts have been restarted in turn.
TEST(SpentPrograms, outliveTheRestartOfOneHostAfterTheOther)
{
    here.record(key, now);
    there.merge(here.reports(1, now), now);
    for (auto restart = 0; restart < 6; ++restart) {
        now += Seconds(5);
        here = SpentPrograms();
        for (auto sequence = std::uint64_t{1}; sequence <= 20; ++sequence) {
            here.merge(there.reports(sequence, now), now);
        }
        CHECK_TRUE(here.contains(key, now));
        std::swap(here, there);
    }
    CHECK_FALSE(here.contains(key, now + Seconds(45))); // What is passed on does not count for longer.
}

TEST(SpentPrograms, areReportedInTurnIfThereAreTooMany)
{
    for (auto number = 0; number < 100; ++number) {
        here.record({.account = "pub", .program = "p" + std::to_string(number)}, now);
    }
    now += Seconds(5);
    CHECK_EQUAL(0U, here.reports(1, now).size());
    for (auto sequence = std::uint64_t{20}; sequence <= 100; sequence += 20) {
        const auto reports = here.reports(sequence, now);
        CHECK_TRUE(reports.size() <= 48);
        there.merge(reports, now);
    }
    for (auto number = 0; number < 100; ++number) {
        CHECK_TRUE(there.contains({.account = "pub", .program = "p" + std::to_string(number)}, now));
    }
}
