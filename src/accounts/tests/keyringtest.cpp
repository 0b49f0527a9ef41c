#include "accounts/internal/keyring.h"

#include "framework/global/digest.h"
#include "testing/support/faultytables.h"
#include "testing/support/silentgossip.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill;
using accounts::AccountError;
using accounts::KeyPolicy;
using accounts::KeyRing;
using framework::sha256Hex;
using testing::runToEnd;

namespace {

constexpr auto s_trustPeriod = framework::Milliseconds(60'000);

} // namespace

TEST_GROUP(KeyRing)
{
    std::shared_ptr<testing::FaultyTables> tables = std::make_shared<testing::FaultyTables>();
    std::shared_ptr<testing::SilentGossip> gossip = std::make_shared<testing::SilentGossip>();
    KeyRing first{{tables, gossip, gossip}, s_trustPeriod};
    KeyRing second{{tables, gossip, gossip}, s_trustPeriod};
    std::string hash = sha256Hex("secret");

    auto issue(KeyRing & ring, const std::string& key = "secret")->framework::Result<std::uint64_t>
    {
        return runToEnd(ring.issue(sha256Hex(key), "brewery"));
    }
    auto withdraw(KeyRing & ring)->framework::Result<std::uint64_t>
    {
        return runToEnd(ring.withdraw(hash));
    }
};

TEST(KeyRing, issuedKeyIsValidUntilWithdrawn)
{
    LONGS_EQUAL(1, issue(first).value());
    const auto caller = first.authenticate("secret").value();
    STRCMP_EQUAL("brewery", caller.account.c_str());

    LONGS_EQUAL(2, withdraw(first).value());

    CHECK_TRUE(first.authenticate("secret").error() == AccountError::KeyWithdrawn);
    CHECK_FALSE(first.isValid(caller));
    LONGS_EQUAL(2, gossip->pushes);
}

TEST(KeyRing, keyCanBeWithdrawnOnHostWithoutIt)
{
    CHECK_TRUE(issue(first).has_value());
    LONGS_EQUAL(2, withdraw(second).value());
}

TEST(KeyRing, withdrawnKeyCannotBeIssuedAgain)
{
    CHECK_TRUE(issue(first).has_value());
    CHECK_TRUE(withdraw(first).has_value());
    CHECK_TRUE(issue(second).error() == AccountError::KeyExists);
}

TEST(KeyRing, repeatedIssueOrWithdrawCreatesNoNewVersion)
{
    LONGS_EQUAL(1, issue(first).value());
    LONGS_EQUAL(1, issue(second).value());
    LONGS_EQUAL(2, withdraw(first).value());
    LONGS_EQUAL(2, withdraw(second).value());
    CHECK_TRUE(runToEnd(first.withdraw(sha256Hex("other"))).error() == AccountError::KeyUnknown);
}

TEST(KeyRing, concurrentChangesAreBothApplied)
{
    tables->beforeWrite = [&] { CHECK_TRUE(issue(second, "another").has_value()); };
    LONGS_EQUAL(2, issue(first).value());
    CHECK_TRUE(first.authenticate("secret").has_value());
    CHECK_TRUE(first.authenticate("another").has_value());
}

TEST(KeyRing, lostResponseIsResolvedByReadingBack)
{
    CHECK_TRUE(issue(first).has_value());
    tables->loseAnswers = 1;
    LONGS_EQUAL(2, withdraw(first).value());
    tables->loseRequests = 1;
    LONGS_EQUAL(3, issue(first, "next").value());
}

TEST(KeyRing, changesSinceContainsOnlyMissingEntries)
{
    CHECK_TRUE(issue(first).has_value());
    CHECK_TRUE(issue(first, "another").has_value());
    second.offerDocument(first.changesSince(0));
    CHECK_TRUE(withdraw(first).has_value());

    const auto changes = first.changesSince(2);
    second.offerDocument(changes);

    CHECK_TRUE(changes.body.find(sha256Hex("another")) == std::string::npos);
    CHECK_TRUE(second.authenticate("secret").error() == AccountError::KeyWithdrawn);
    CHECK_TRUE(second.authenticate("another").has_value());
}

TEST(KeyRing, changesThatLeaveGapAreRejected)
{
    CHECK_TRUE(issue(first).has_value());
    CHECK_TRUE(issue(first, "another").has_value());

    second.offerDocument(first.changesSince(1));

    LONGS_EQUAL(0, second.version());
}

TEST(KeyRing, oldListDoesNotRestoreWithdrawnKey)
{
    CHECK_TRUE(issue(first).has_value());
    const auto old = first.changesSince(0);
    tables->old = tables->platform;
    CHECK_TRUE(withdraw(first).has_value());

    first.offerDocument(old);
    CHECK_TRUE(runToEnd(first.refresh()).has_value());

    CHECK_TRUE(first.authenticate("secret").error() == AccountError::KeyWithdrawn);
    LONGS_EQUAL(2, first.version());
}

TEST(KeyRing, versionDecreasesWithoutVersionCheck)
{
    auto policy = KeyPolicy();
    policy.rejectsLowerVersion = false;
    auto ring = KeyRing({tables, gossip, gossip}, s_trustPeriod, policy);
    CHECK_TRUE(issue(ring).has_value());
    const auto old = ring.changesSince(0);
    CHECK_TRUE(withdraw(ring).has_value());

    ring.offerDocument(old);

    LONGS_EQUAL(1, ring.version());
}

TEST(KeyRing, keysExpireAfterTrustPeriodWithoutContact)
{
    CHECK_TRUE(issue(first).has_value());
    gossip->age = s_trustPeriod;
    CHECK_TRUE(first.authenticate("secret").has_value());

    gossip->age = s_trustPeriod + framework::Milliseconds(1);

    CHECK_TRUE(first.authenticate("secret").error() == AccountError::KeysUnknown);
}

TEST(KeyRing, changeFailsWhilePlatformIsDown)
{
    CHECK_TRUE(issue(first).has_value());
    tables->down = true;
    CHECK_TRUE(withdraw(first).error() == platform::PlatformError::Unavailable);
    CHECK_TRUE(first.authenticate("secret").has_value());
}
