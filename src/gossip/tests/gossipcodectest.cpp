#include "gossip/internal/gossipcodec.h"

#include <CppUTest/TestHarness.h>

using namespace laburnummill::gossip;

TEST_GROUP(GossipCodec){};

TEST(GossipCodec, messageIsUnchangedByEncodingAndDecoding)
{
    auto message = GossipMessage();
    message.sender = {"entry-1", "dc-1", {"127.0.0.1", 4'000}};
    message.contactAgeMs = 17;
    message.versions = {{"configuration", 4}};
    message.bucketHashes = {1, 0, 0xffffffff};
    message.differingBuckets = {3, 31};
    message.hosts = {{"entry-2", 99, {{"configuration", 3}, {"keys", 2}}}};
    message.wants = {{"keys", 1}};
    message.documents = {{"keys", {2, std::string("\0body", 5)}}};

    const auto read = decode(encode(message));

    CHECK_TRUE(read.has_value());
    CHECK_TRUE(*read == message);
}

TEST(GossipCodec, rejectsInvalidPayloads)
{
    CHECK_FALSE(decode("\xff\xff\xff").has_value());
    CHECK_FALSE(decode("").has_value());
}
