#include "serving/streamcontinuation.h"
#include "serving/eventscanner.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>

using namespace laburnummill::serving;

namespace {

auto event(int id) -> std::string
{
    return "id: " + std::to_string(id) + "\ndata: piece " + std::to_string(id) + "\n\n";
}

/// The events after `last` of a stream of five.
auto eventsAfter(std::uint64_t last) -> std::string
{
    auto text = std::string();
    for (auto id = static_cast<int>(last) + 1; id <= 5; ++id) {
        text += event(id);
    }
    return text;
}

} // namespace

TEST_GROUP(StreamContinuation)
{
    StreamContinuation stream{std::nullopt};

    void setup() override
    {
        stream.beginRun();
    }
};

TEST(StreamContinuation, passesCompleteEventsOnAsTheyArrive)
{
    CHECK_EQUAL(std::string(), stream.feed("id: 1\nda"));
    CHECK_FALSE(stream.lastEvent().has_value());
    CHECK_EQUAL(event(1), stream.feed("ta: piece 1\n\nid: 2\n"));
    CHECK_EQUAL(event(2) + event(3), stream.feed("data: piece 2\n\n" + event(3)));
    CHECK_EQUAL(3U, *stream.lastEvent());
}

TEST(StreamContinuation, anotherRunGoesOnAfterABreakAtEveryByte)
{
    const auto whole = eventsAfter(0);
    for (auto cut = std::size_t{0}; cut <= whole.size(); ++cut) {
        auto broken = StreamContinuation(std::nullopt);
        broken.beginRun();
        auto received = broken.feed(whole.substr(0, cut));
        CHECK_TRUE(whole.starts_with(received)); // No incomplete event is passed on.
        CHECK_TRUE(received.empty() || received.ends_with("\n\n"));
        CHECK_EQUAL(received.size() < cut, broken.isInsideEvent());
        broken.beginRun();
        received += broken.feed(eventsAfter(broken.lastEvent().value_or(0)));
        CHECK_EQUAL(whole, received);
        CHECK_EQUAL(std::string(), broken.takeRemainder());
        CHECK_EQUAL(2, broken.runs());
    }
}

TEST(StreamContinuation, bytesThatArriveOneByOneGiveTheSameEvents)
{
    auto received = std::string();
    for (const auto byte : eventsAfter(0)) {
        received += stream.feed(std::string_view(&byte, 1));
    }
    CHECK_EQUAL(eventsAfter(0), received);

    auto other = StreamContinuation(std::nullopt);
    other.beginRun();
    received.clear();
    for (const auto byte : std::string("id: 1\r\ndata: x\r\n\r\nid: 2\r\ndata: y\r\n\r\n")) {
        received += other.feed(std::string_view(&byte, 1));
    }
    CHECK_EQUAL(2U, *other.lastEvent());
}

TEST(StreamContinuation, aCallersLaterRequestGoesOnWhereItsEarlierResponseEnded)
{
    auto later = StreamContinuation(3);
    later.beginRun();
    CHECK_EQUAL(3U, *later.lastEvent());
    CHECK_EQUAL(eventsAfter(3), later.feed(eventsAfter(3)));
}

TEST(StreamContinuation, aRunThatRepeatsOrLacksAnEventIsOfNoUse)
{
    CHECK_EQUAL(event(1) + event(2), stream.feed(event(1) + event(2) + event(2) + event(3)));
    CHECK_TRUE(stream.fault() == ContinuationFault::OutOfOrder);
    CHECK_EQUAL(std::string(), stream.feed(event(3)));

    stream.beginRun();
    CHECK_FALSE(stream.fault().has_value());
    CHECK_EQUAL(std::string(), stream.feed(event(4)));
    CHECK_TRUE(stream.fault() == ContinuationFault::OutOfOrder);

    stream.beginRun();
    CHECK_EQUAL(event(3), stream.feed(event(3)));
}

TEST(StreamContinuation, anEventWithoutAReadableIdIsOfNoUse)
{
    for (const auto* text : {"data: x\n\n", "id: 7x\ndata: x\n\n", "id:\ndata: x\n\n", "id: -1\n\n"}) {
        stream.beginRun();
        CHECK_EQUAL(std::string(), stream.feed(text));
        CHECK_TRUE(stream.fault() == ContinuationFault::NoEventId);
    }
}

TEST(StreamContinuation, commentsOfASlowRunDoNotBreakItOff)
{
    CHECK_EQUAL(": wait\n\n" + event(1), stream.feed(": wait\n\n" + event(1)));
    CHECK_EQUAL(std::string(":\r\n\r\n") + event(2), stream.feed(std::string(":\r\n\r\n") + event(2)));
    CHECK_FALSE(stream.fault().has_value());
    CHECK_EQUAL(2U, *stream.lastEvent());
}

TEST(StreamContinuation, bytesAfterTheLastEventOfACompleteResponseAreKept)
{
    CHECK_EQUAL(event(1), stream.feed(event(1) + ": end"));
    CHECK_FALSE(stream.isInsideEvent());
    CHECK_EQUAL(std::string(": end"), stream.takeRemainder());
}
