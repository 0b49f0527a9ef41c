#include "configuration/internal/configurationmanager.h"

#include "framework/global/manualclock.h"
#include "testing/support/faultytables.h"
#include "testing/support/silentgossip.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill;
using configuration::ConfigurationError;
using configuration::ConfigurationManager;
using configuration::ConfigurationStore;
using framework::Json;
using testing::FaultyTables;
using testing::runToEnd;

namespace {

auto documentWith(const std::string& dataCentre) -> Json
{
    auto document = Json::object();
    document["dataCentres"] = Json::array({{{"name", dataCentre}, {"region", "north"}}});
    for (const auto* list : {"clientAccounts", "pools", "backendServers", "routes"}) {
        document[list] = Json::array();
    }
    return document;
}

} // namespace

TEST_GROUP(ConfigurationManager)
{
    std::shared_ptr<FaultyTables> tables = std::make_shared<FaultyTables>();
    std::shared_ptr<testing::SilentGossip> gossip = std::make_shared<testing::SilentGossip>();
    std::shared_ptr<ConfigurationStore> store = std::make_shared<ConfigurationStore>(tables, std::make_shared<framework::ManualClock>());
    ConfigurationManager first{store, gossip};
    ConfigurationManager second{store, gossip};
};

TEST(ConfigurationManager, anAcceptedChangeIsInForceAndPushed)
{
    LONGS_EQUAL(1, runToEnd(first.apply(documentWith("dc-1"), 0)).value());

    LONGS_EQUAL(1, first.current()->version);
    LONGS_EQUAL(1, gossip->pushes);
    LONGS_EQUAL(1, runToEnd(store->record(1)).value().document.value("version", 0));
}

TEST(ConfigurationManager, theLoserOfARaceGetsAConflictAndTheWinningVersion)
{
    tables->beforeWrite = [&] { CHECK_TRUE(runToEnd(second.apply(documentWith("dc-2"), 0)).has_value()); };

    const auto lost = runToEnd(first.apply(documentWith("dc-1"), 0));

    CHECK_TRUE(lost.error() == ConfigurationError::VersionConflict);
    LONGS_EQUAL(1, first.current()->version);
    STRCMP_EQUAL("dc-2", first.current()->dataCentres.front().name.c_str());
}

TEST(ConfigurationManager, resolvesAWriteWhoseReplyWasLost)
{
    tables->loseAnswers = 1;
    LONGS_EQUAL(1, runToEnd(first.apply(documentWith("dc-1"), 0)).value());
    LONGS_EQUAL(1, runToEnd(store->records()).value().size());
}

TEST(ConfigurationManager, resendsAWriteWhoseRequestWasLost)
{
    tables->loseRequests = 1;
    LONGS_EQUAL(1, runToEnd(first.apply(documentWith("dc-1"), 0)).value());
}

TEST(ConfigurationManager, ignoresStaleDataFromThePlatform)
{
    CHECK_TRUE(runToEnd(first.apply(documentWith("dc-1"), 0)).has_value());
    tables->old = tables->platform;
    CHECK_TRUE(runToEnd(first.apply(documentWith("dc-2"), 1)).has_value());

    CHECK_TRUE(runToEnd(first.refresh()).has_value());

    LONGS_EQUAL(2, first.current()->version);
    LONGS_EQUAL(1, first.dump().value("lowerVersionsRefused", 0));
}

TEST(ConfigurationManager, ignoresAnOlderVersionFromAPeer)
{
    CHECK_TRUE(runToEnd(first.apply(documentWith("dc-1"), 0)).has_value());
    const auto old = first.document();
    CHECK_TRUE(runToEnd(first.apply(documentWith("dc-2"), 1)).has_value());

    first.offerDocument(old);

    LONGS_EQUAL(2, first.version());
}

TEST(ConfigurationManager, acceptsAPeersDocumentWhileThePlatformIsDown)
{
    CHECK_TRUE(runToEnd(first.apply(documentWith("dc-1"), 0)).has_value());
    tables->down = true;
    CHECK_FALSE(runToEnd(second.refresh()).has_value());
    CHECK_TRUE(second.current() == nullptr);

    second.offerDocument(first.document());

    LONGS_EQUAL(1, second.current()->version);
    CHECK_TRUE(runToEnd(second.apply(documentWith("dc-2"), 1)).error() == platform::PlatformError::Unavailable);
}

TEST(ConfigurationManager, rejectsInvalidDocuments)
{
    CHECK_TRUE(runToEnd(first.apply(Json::object(), 0)).error() == ConfigurationError::Invalid);
    first.offer({{"version", 9}});
    LONGS_EQUAL(0, first.version());
}

TEST(ConfigurationManager, limitsTheHistoryToTheRetainedVersions)
{
    const auto retained = configuration::IConfigurationHistory::s_retainedVersions;
    for (auto version = std::uint64_t{0}; version < retained + 3; ++version) {
        CHECK_TRUE(runToEnd(first.apply(documentWith("dc-1"), version)).has_value());
    }

    const auto records = runToEnd(store->records()).value();
    LONGS_EQUAL(retained, records.size());
    LONGS_EQUAL(4, records.front().version);
    CHECK_TRUE(runToEnd(store->record(1)).error() == ConfigurationError::VersionUnknown);
}
