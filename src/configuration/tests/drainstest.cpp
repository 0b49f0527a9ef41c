#include "configuration/internal/drains.h"

#include "framework/global/manualclock.h"
#include "testing/support/faultytables.h"
#include "testing/support/silentgossip.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill;
using configuration::ConfigurationError;
using configuration::ConfigurationManager;
using configuration::ConfigurationStore;
using configuration::DrainState;
using framework::Json;
using testing::runToEnd;

TEST_GROUP(Drains)
{
    std::shared_ptr<testing::FaultyTables> tables = std::make_shared<testing::FaultyTables>();
    std::shared_ptr<testing::SilentGossip> gossip = std::make_shared<testing::SilentGossip>();
    std::shared_ptr<ConfigurationStore> store = std::make_shared<ConfigurationStore>(tables, std::make_shared<framework::ManualClock>());
    std::shared_ptr<ConfigurationManager> manager = std::make_shared<ConfigurationManager>(store, gossip);
    std::shared_ptr<ConfigurationManager> otherManager = std::make_shared<ConfigurationManager>(store, gossip);
    configuration::Drains drains{manager};
    configuration::Drains otherDrains{otherManager};

    void setup() override
    {
        auto document = Json::object();
        document["dataCentres"] = Json::array({{{"name", "dc-1"}, {"region", "north"}}, {{"name", "dc-2"}, {"region", "north"}}});
        document["clientAccounts"] = Json::array();
        document["routes"] = Json::array();
        document["pools"] = Json::array({{{"name", "orders"}, {"kind", "plain"}}});
        document["backendServers"] =
            Json::array({{{"name", "orders-1"}, {"pool", "orders"}, {"dataCentre", "dc-1"}, {"address", "127.0.0.1:9"}}});
        CHECK_TRUE(runToEnd(manager->apply(document, 0)).has_value());
    }
};

TEST(Drains, drainsADataCentreAndReturnsItToService)
{
    LONGS_EQUAL(2, runToEnd(drains.setDataCentre("dc-2", DrainState::Drained)).value());
    CHECK_TRUE(manager->current()->dataCentre("dc-2")->drained);
    CHECK_FALSE(manager->current()->dataCentre("dc-1")->drained);

    LONGS_EQUAL(3, runToEnd(drains.setDataCentre("dc-2", DrainState::Serving)).value());
    CHECK_FALSE(manager->current()->dataCentre("dc-2")->drained);
}

TEST(Drains, drainingTwiceCreatesOneVersion)
{
    LONGS_EQUAL(2, runToEnd(drains.setBackendServer("orders-1", DrainState::Drained)).value());
    LONGS_EQUAL(2, runToEnd(drains.setBackendServer("orders-1", DrainState::Drained)).value());
}

TEST(Drains, concurrentDrainsBothTakeEffect)
{
    tables->beforeWrite = [&] { CHECK_TRUE(runToEnd(otherDrains.setBackendServer("orders-1", DrainState::Drained)).has_value()); };

    LONGS_EQUAL(3, runToEnd(drains.setDataCentre("dc-2", DrainState::Drained)).value());

    CHECK_TRUE(manager->current()->dataCentre("dc-2")->drained);
    CHECK_TRUE(manager->current()->backendServer("orders-1")->drained);
}

TEST(Drains, reportsUnknownNamesAsTypedErrors)
{
    CHECK_TRUE(runToEnd(drains.setDataCentre("dc-9", DrainState::Drained)).error() == ConfigurationError::DataCentreUnknown);
    CHECK_TRUE(runToEnd(drains.setBackendServer("none", DrainState::Drained)).error() == ConfigurationError::BackendServerUnknown);
}
