#include "accounts/internal/limitgroup.h"

#include <CppUTest/TestHarness.h>

using laburnummill::accounts::AccountLimit;
using laburnummill::accounts::AccountPlacement;
using laburnummill::accounts::DataCentreSet;
using laburnummill::accounts::GrantTerms;
using laburnummill::accounts::LimitGroup;
using laburnummill::accounts::TakeKind;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;

TEST_GROUP(LimitGroup)
{
    GrantTerms terms;
    Instant start{};
    Instant settled = start + Milliseconds(60'000);
    DataCentreSet dataCentres{{"dc-1", "dc-2", "dc-3"}, {"dc-1", "dc-2", "dc-3"}};
    AccountLimit limit{"brewery", 3.0, 3.0};
    std::string home = AccountPlacement(dataCentres).home("brewery");
    std::string other = home == "dc-1" ? "dc-2" : "dc-1";
    LimitGroup atHome{home, terms, start};
    LimitGroup atOther{other, terms, start};

    void setup() override
    {
        atHome.configure({limit}, dataCentres, start);
        atOther.configure({limit}, dataCentres, start);
    }

    auto takeAll(LimitGroup & group, Instant now)->int
    {
        auto granted = 0;
        while (group.take("brewery", now).kind == TakeKind::Granted) {
            ++granted;
        }
        return granted;
    }

    void grantAt(Instant now)
    {
        atHome.acceptGrant(other, atOther.grantShare(home, now), now, now);
    }
};

TEST(LimitGroup, homeWithoutGrantsHasOnlyItsOwnShare)
{
    LONGS_EQUAL(0, takeAll(atHome, start));
    LONGS_EQUAL(1, takeAll(atHome, settled));
}

TEST(LimitGroup, newOwnerReportsTimeToFirstToken)
{
    auto fresh = LimitGroup(home, terms, settled);
    fresh.configure({limit}, dataCentres, settled);
    const auto refused = fresh.take("brewery", settled);
    CHECK_TRUE(refused.kind == TakeKind::Refused);
    LONGS_EQUAL(1'000, refused.retryAfter.count());
}

TEST(LimitGroup, grantedShareIsUsableOnlyAtHome)
{
    grantAt(settled);
    CHECK_TRUE(atOther.take("brewery", settled).kind == TakeKind::ForwardToHome);
    STRCMP_EQUAL(home.c_str(), atOther.take("brewery", settled).home.c_str());

    // The home's bucket is filled at two thirds of the rate.
    LONGS_EQUAL(1, takeAll(atHome, settled));
    LONGS_EQUAL(1, takeAll(atHome, settled + Milliseconds(500)));
}

TEST(LimitGroup, grantExpiresAtHolderBeforeGrantor)
{
    grantAt(settled);
    const auto ended = settled + terms.term;
    LONGS_EQUAL(0, atHome.heldGrantCount(ended));
    CHECK_TRUE(atOther.take("brewery", ended).kind == TakeKind::ForwardToHome);
    CHECK_TRUE(atOther.take("brewery", ended + terms.drift).kind == TakeKind::Refused);

    // The bucket of the data centre's own share starts empty and gains one token per second.
    LONGS_EQUAL(1, takeAll(atOther, ended + terms.drift + Milliseconds(1'000)));
}

TEST(LimitGroup, newOwnerWaitsForUnknownGrantsToExpire)
{
    auto successor = LimitGroup(other, terms, settled);
    successor.configure({limit}, dataCentres, settled);
    CHECK_TRUE(successor.take("brewery", settled).kind == TakeKind::ForwardToHome);
    CHECK_TRUE(successor.take("brewery", settled + terms.term).kind == TakeKind::ForwardToHome);
    LONGS_EQUAL(1, takeAll(successor, settled + terms.term + terms.drift + Milliseconds(1'000)));
}

TEST(LimitGroup, handOverKeepsTokensAndGrantsAndStopsFormerOwner)
{
    grantAt(settled);
    const auto state = atHome.handOver(settled);
    LONGS_EQUAL(0, takeAll(atHome, settled));

    auto successor = LimitGroup(home, terms, settled);
    successor.configure({limit}, dataCentres, settled);
    successor.adopt(state, settled);
    LONGS_EQUAL(1, successor.heldGrantCount(settled));
    LONGS_EQUAL(1, takeAll(successor, settled));
}

TEST(LimitGroup, homeIsNotQueriedBeforeRetryTime)
{
    grantAt(settled);
    atOther.recordRefusal("brewery", Milliseconds(300), settled);
    CHECK_TRUE(atOther.take("brewery", settled + Milliseconds(299)).kind == TakeKind::Refused);
    CHECK_TRUE(atOther.take("brewery", settled + Milliseconds(300)).kind == TakeKind::ForwardToHome);
}

TEST(LimitGroup, sharesOfAllDataCentresSumToOne)
{
    for (const auto burst : {1.0, 2.0, 2.5, 3.0, 7.0, 1'000.0}) {
        const auto placement = AccountPlacement(dataCentres);
        auto sum = 0.0;
        for (const auto& dataCentre : dataCentres.all) {
            sum += placement.share("brewery", dataCentre, burst);
        }
        DOUBLES_EQUAL(1.0, sum, 1e-9);
    }
}
