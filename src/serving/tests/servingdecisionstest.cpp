#include "framework/global/manualclock.h"
#include "serving/eventscanner.h"
#include "serving/fleetknowledge.h"
#include "serving/latencybook.h"
#include "serving/quarantine.h"
#include "serving/servingerrors.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::serving;
namespace store = laburnummill::store;
namespace backends = laburnummill::backends;
namespace routing = laburnummill::routing;
using laburnummill::framework::Instant;
using laburnummill::framework::ManualClock;
using laburnummill::framework::Milliseconds;

namespace {

/// Rows as plain text: "v7" is a configuration, "x" is nothing.
class PlainDecoder final : public IRowDecoder
{
public:
    auto operatorRow(const store::Row& row) const -> OperatorRow override
    {
        if (row.address.key.starts_with("drain/")) {
            return DataCentreDrain{.dataCentre = row.address.key.substr(6), .isWithdrawn = row.isRemoved};
        }
        if (!row.value.starts_with("v")) {
            return UnknownRow();
        }
        auto configuration = routing::FleetConfiguration();
        configuration.version = std::stoi(row.value.substr(1));
        return configuration;
    }

    auto backendRow(const store::Row& row) const -> std::optional<backends::BackendEntry> override
    {
        if (row.value == "x") {
            return std::nullopt;
        }
        return backends::BackendEntry{.id = row.address.key, .service = "engine", .address = "10.0.0.1:1", .dataCentre = "a", .slots = 1};
    }

    auto operatorTable() const -> std::string override { return "op"; }
    auto backendTable() const -> std::string override { return "servers"; }
};

auto row(std::string key, std::string value, std::uint64_t version) -> store::Row
{
    return {.address = {.table = "t", .partition = {}, .key = std::move(key)}, .value = std::move(value), .version = version};
}

auto removed(std::string key, std::uint64_t version) -> store::Row
{
    auto made = row(std::move(key), {}, version);
    made.isRemoved = true;
    return made;
}

} // namespace

TEST_GROUP(EventScanner)
{
    EventScanner scanner;
};

TEST(EventScanner, gathersTheDataOfWholeEventsHoweverTheBytesAreCut)
{
    const auto stream = std::string("id: 1\ndata: one\n\nweight-versions: 2\nid: 2\ndata: two\n\n");
    for (const auto byte : stream) {
        scanner.feed(std::string(1, byte));
    }
    CHECK_EQUAL(2, scanner.events());
    CHECK_EQUAL(std::string("one\ntwo\n"), scanner.data());
    CHECK_TRUE(scanner.isBetweenEvents());
}

TEST(EventScanner, aBegunEventDoesNotCountYet)
{
    scanner.feed("id: 1\ndata: one\n");
    CHECK_EQUAL(0, scanner.events());
    CHECK_FALSE(scanner.isBetweenEvents());
}

TEST(EventScanner, onlyOneSpaceBehindTheColonIsDropped)
{
    scanner.feed("data:  two spaces\r\n\r\ndata:none\n\n");
    CHECK_EQUAL(std::string(" two spaces\nnone\n"), scanner.data());
}

TEST_GROUP(Quarantine)
{
    Quarantine quarantine;
    Instant now{Milliseconds(100'000)};
    Fingerprint request = fingerprintOf("pub", "/a/b", "body");
};

TEST(Quarantine, threeCrashesOverAllHostsHoldARequest)
{
    quarantine.broke(request, now);
    quarantine.recordRemote("other", {{.fingerprint = request, .crashes = 1}}, now);
    CHECK_FALSE(quarantine.isHeld(request, now));
    quarantine.recordRemote("third", {{.fingerprint = request, .crashes = 1}}, now);
    CHECK_TRUE(quarantine.isHeld(request, now));
    CHECK_FALSE(quarantine.isHeld(fingerprintOf("pub", "/a/b", "other body"), now));
}

TEST(Quarantine, anAnswerClearsARequest)
{
    for (auto time = 0; time < 3; ++time) {
        quarantine.broke(request, now);
    }
    quarantine.answered(request);
    CHECK_FALSE(quarantine.isHeld(request, now));
    CHECK_EQUAL(0U, quarantine.toTell(now).size());
}

TEST(Quarantine, crashesAreForgottenAfterAMinute)
{
    for (auto time = 0; time < 3; ++time) {
        quarantine.broke(request, now);
    }
    CHECK_FALSE(quarantine.isHeld(request, now + Milliseconds(61'000)));
}

TEST_GROUP(FleetKnowledge)
{
    PlainDecoder decoder;
    ManualClock clock;
    FleetKnowledge knowledge{decoder, clock};

    auto inForce()->std::int64_t
    {
        return knowledge.routes() ? knowledge.routes()->version() : -1;
    }
};

TEST(FleetKnowledge, aConfigurationNeverGoesBack)
{
    CHECK_EQUAL(-1, inForce());
    knowledge.takeOperatorRows({row("config", "v7", 10)}, 10, true, "store");
    CHECK_EQUAL(7, inForce());
    // An answer that is older than what is known.
    knowledge.takeOperatorRows({row("config", "v5", 8)}, 8, true, "store");
    CHECK_EQUAL(7, inForce());
    knowledge.takeOperatorRows({row("config", "v5", 12)}, 12, false, "peer");
    CHECK_EQUAL(7, inForce());
}

TEST(FleetKnowledge, aRowThatCannotBeReadChangesNothing)
{
    knowledge.takeOperatorRows({row("config", "v7", 10)}, 10, true, "store");
    knowledge.takeOperatorRows({row("config", "garbage", 11)}, 11, false, "store");
    CHECK_EQUAL(7, inForce());
}

TEST(FleetKnowledge, aServerWhoseEntryBecomesUnreadableIsNotUsedTheOthersAre)
{
    knowledge.takeBackendRows({row("one", "ok", 1), row("two", "ok", 2)}, 2, true, false);
    knowledge.takeBackendRows({row("one", "x", 3)}, 3, false, false);
    CHECK_EQUAL(1U, knowledge.backends().available("engine").size());
    CHECK_TRUE(knowledge.backends().find("two") != nullptr);
}

TEST(FleetKnowledge, aWholeReadFindsWhatWasRemovedMeanwhile)
{
    knowledge.takeBackendRows({row("one", "ok", 1), row("two", "ok", 2)}, 2, true, false);
    knowledge.takeBackendRows({row("two", "ok", 2)}, 9, true, false);
    CHECK_TRUE(knowledge.backends().find("one") == nullptr);
}

TEST(FleetKnowledge, drainsAreSetAndWithdrawn)
{
    knowledge.takeBackendRows({row("one", "ok", 1)}, 1, true, false);
    knowledge.takeOperatorRows({row("drain/a", "{}", 2)}, 2, false, "store");
    CHECK_EQUAL(0U, knowledge.backends().available("engine").size());
    knowledge.takeOperatorRows({removed("drain/a", 3)}, 3, false, "peer");
    CHECK_EQUAL(1U, knowledge.backends().available("engine").size());
}

TEST(FleetKnowledge, tellsOthersWhatChangedSinceTheyHeard)
{
    knowledge.takeBackendRows({row("one", "ok", 1), row("two", "ok", 2)}, 2, true, false);
    knowledge.takeBackendRows({removed("one", 5)}, 5, false, false);
    const auto news = knowledge.backendTable().since(2);
    CHECK_EQUAL(1U, news.size());
    CHECK_TRUE(news.front().isRemoved);
    CHECK_EQUAL(5U, knowledge.backendTable().newestRow());
}

TEST_GROUP(LatencyBook)
{
    LatencyBook book;
};

TEST(LatencyBook, tellsHowSlowATimeIsAgainstTheUsual)
{
    for (auto time = 0; time < 19; ++time) {
        DOUBLES_EQUAL(0, book.record("kind", 100), 1e-9);
    }
    DOUBLES_EQUAL(1, book.record("kind", 100), 0.01);
    CHECK_TRUE(book.record("kind", 500) > 4);
}

TEST_GROUP(Refusals){};

TEST(Refusals, onlyWhatHasSurelyNotRunIsAnsweredSo)
{
    CHECK_EQUAL(502U, statusOf(Refusal::Lost));
    CHECK_EQUAL(504U, statusOf(Refusal::TimedOut));
    CHECK_EQUAL(503U, statusOf(Refusal::TimedOutUnsent));
    CHECK_EQUAL(503U, statusOf(Refusal::NotRun));
    CHECK_EQUAL(429U, statusOf(Refusal::RateLimited));
    CHECK_EQUAL(402U, statusOf(Refusal::BudgetSpent));
    CHECK_EQUAL(503U, statusOf(Refusal::BudgetUnknown));
    CHECK_EQUAL(503U, statusOf(Refusal::TurnUnknown));
    CHECK_EQUAL(404U, statusOf(Refusal::NoSuchTurn));
}
