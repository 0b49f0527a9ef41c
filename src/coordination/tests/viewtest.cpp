#include "coordination/internal/view.h"
#include "coordination/internal/protocolrules.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::coordination; // NOLINT(google-build-using-namespace)

namespace {

auto makeMembers(std::size_t count) -> std::vector<Member>
{
    auto members = std::vector<Member>();
    for (auto number = std::size_t{0}; number < count; ++number) {
        members.push_back({{"entry-" + std::to_string(number), number + 1}, "dc", {"10.0.0.1", static_cast<std::uint16_t>(number + 1)}});
    }
    return members;
}

} // namespace

TEST_GROUP(View){};

TEST(View, promiseAndAcknowledgeQuorumsShareAWitness)
{
    for (auto witnesses = std::size_t{1}; witnesses <= 7; ++witnesses) {
        const auto quorums = quorumsOf(witnesses, ProtocolRules());
        CHECK_TRUE(quorums.promise + quorums.acknowledge > witnesses);
        CHECK_TRUE(2 * quorums.promise > witnesses);
    }
}

TEST(View, atMostSevenMembersAreWitnesses)
{
    LONGS_EQUAL(3, witnessesOf(1, makeMembers(3)).size());
    LONGS_EQUAL(7, witnessesOf(1, makeMembers(30)).size());
}

TEST(View, isUnchangedByConversionToAndFromJson)
{
    const auto members = makeMembers(3);
    const auto view = View{"dc", 4, members, {EarlierView{3, makeMembers(2), {members[1].id}}}};
    const auto read = viewFromJson(toJson(view));
    CHECK_TRUE(read && *read == view);
}

TEST(View, rejectsInvalidJson)
{
    CHECK_FALSE(viewFromJson({{"dataCentre", "dc"}}).has_value());
    CHECK_FALSE(viewFromJson(laburnummill::framework::Json::array()).has_value());
}
