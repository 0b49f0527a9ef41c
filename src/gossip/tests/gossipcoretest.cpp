#include "gossip/internal/gossipcore.h"

#include <CppUTest/TestHarness.h>

#include <algorithm>
#include <deque>
#include <set>

using namespace laburnummill::gossip;
using laburnummill::framework::Instant;
using laburnummill::framework::Milliseconds;
using laburnummill::framework::Seconds;

namespace {

constexpr auto s_name = "configuration";

/// Simulated hosts; messages are delivered immediately and in order.
class Hosts
{
public:
    Hosts(std::size_t count, std::size_t dataCentres, GossipPolicy policy = {})
        : m_versions(count)
    {
        for (auto index = std::size_t{0}; index < count; ++index) {
            const auto port = static_cast<std::uint16_t>(index);
            m_peers.push_back({"host-" + std::to_string(index), "dc-" + std::to_string(index % dataCentres), {"host", port}});
        }
        for (auto index = std::size_t{0}; index < count; ++index) {
            m_cores.emplace_back(m_peers[index], 1, index, policy);
            auto hooks = DocumentHooks();
            hooks.current = [this, index] { return VersionedDocument{m_versions[index], "body"}; };
            hooks.offer = [this, index](const VersionedDocument& document) {
                m_versions[index] = std::max(m_versions[index], document.version);
            };
            m_cores.back().addDocument(s_name, std::move(hooks));
            m_cores.back().setPeers(m_peers);
        }
    }

    auto tick() -> void
    {
        m_now += Seconds(1);
        for (auto index = std::size_t{0}; index < m_cores.size(); ++index) {
            deliver(index, m_cores[index].tick(m_now));
        }
    }

    auto push(std::size_t index) -> void { deliver(index, m_cores[index].push(s_name, m_now)); }

    auto deliver(std::size_t from, const std::vector<GossipSend>& sends) -> void
    {
        auto queue = std::deque<std::pair<std::size_t, GossipSend>>();
        const auto enqueue = [&](std::size_t sender, const std::vector<GossipSend>& more) {
            for (const auto& send : more) {
                m_contacts.insert(std::minmax<std::size_t>(sender, send.to.port));
                m_maxHostEntries = std::max(m_maxHostEntries, send.message.hosts.size());
                queue.emplace_back(sender, send);
            }
        };
        enqueue(from, sends);
        while (!queue.empty()) {
            const auto [sender, send] = queue.front();
            queue.pop_front();
            enqueue(send.to.port, m_cores[send.to.port].handleMessage(send.message, m_now));
        }
    }

    auto allHave(std::uint64_t version) const -> bool
    {
        return std::ranges::all_of(m_versions, [version](auto hostVersion) { return hostVersion == version; });
    }

    /// Returns true if every host has received reports that all hosts have the version.
    auto allReport(std::uint64_t version) const -> bool
    {
        return std::ranges::all_of(m_cores, [&](const GossipCore& core) {
            const auto reported = core.reportedVersions(s_name);
            return reported.size() == m_cores.size() &&
                   std::ranges::all_of(reported, [&](const auto& entry) { return entry.second == version; });
        });
    }

    /// The largest number of peers that one host has exchanged messages with.
    auto maxPeersOfOneHost() const -> std::size_t
    {
        auto links = std::vector<std::size_t>(m_cores.size());
        for (const auto& [one, other] : m_contacts) {
            ++links[one];
            ++links[other];
        }
        return std::ranges::max(links);
    }

    std::vector<std::uint64_t> m_versions;
    std::vector<GossipPeer> m_peers;
    std::deque<GossipCore> m_cores;
    std::set<std::pair<std::size_t, std::size_t>> m_contacts;
    std::size_t m_maxHostEntries = 0;
    Instant m_now{};
};

} // namespace

TEST_GROUP(GossipCore){};

TEST(GossipCore, relaysReachMostHostsAndDigestsReachTheRest)
{
    auto hosts = Hosts(380, 3);
    hosts.tick();
    hosts.m_versions[7] = 1;

    hosts.push(7);

    const auto reached = std::ranges::count(hosts.m_versions, 1U);
    CHECK_TRUE(reached > 340);
    hosts.tick();
    hosts.tick();
    CHECK_TRUE(hosts.allHave(1));
}

TEST(GossipCore, everyHostLearnsTheVersionsOfAllOtherHosts)
{
    auto hosts = Hosts(380, 3);
    hosts.m_versions[7] = 1;
    hosts.push(7);
    auto ticks = 0;
    while (!hosts.allReport(1) && ticks < 20) {
        hosts.tick();
        ++ticks;
    }
    CHECK_TRUE(hosts.allReport(1));

    // The hosts do not form a full mesh, and the message size does not grow with the number of hosts.
    CHECK_TRUE(hosts.maxPeersOfOneHost() < 80);
    CHECK_TRUE(hosts.m_maxHostEntries <= s_maxHostsPerMessage);
}

TEST(GossipCore, withoutDigestsAndRelaysAChangeDoesNotReachAllHosts)
{
    auto policy = GossipPolicy();
    policy.exchangesDigests = false;
    policy.relaysChanges = false;
    auto hosts = Hosts(60, 3, policy);
    hosts.m_versions[7] = 1;

    hosts.push(7);
    hosts.tick();

    CHECK_FALSE(hosts.allHave(1));
}

TEST(GossipCore, doesNotSpreadALowerVersion)
{
    auto hosts = Hosts(2, 1);
    hosts.m_versions = {5, 5};
    hosts.tick();
    hosts.m_versions[0] = 3;
    hosts.tick();

    LONGS_EQUAL(5, hosts.m_cores[1].reportedVersions(s_name).at("host-0"));
    CHECK_TRUE(hosts.m_cores[0].counts().versionRegressions > 0);
}

TEST(GossipCore, spreadsALowerVersionWhenRejectionIsDisabled)
{
    auto policy = GossipPolicy();
    policy.rejectsLowerVersion = false;
    auto hosts = Hosts(2, 1, policy);
    hosts.m_versions = {5, 5};
    hosts.tick();
    hosts.m_versions[0] = 3;
    hosts.m_now += Seconds(1);
    const auto sends = hosts.m_cores[0].tick(hosts.m_now);

    LONGS_EQUAL(3, sends.front().message.versions.front().version);
}

TEST(GossipCore, aRestartedHostReplacesItsOlderEntry)
{
    auto hosts = Hosts(3, 1);
    hosts.m_versions = {4, 4, 4};
    for (auto ticks = 0; ticks < 5; ++ticks) {
        hosts.tick();
    }
    // The wall clock of the host was set back, so that its first stamp is lower than its stamp before the restart.
    hosts.m_cores[0] = GossipCore(hosts.m_peers[0], 0, 1);
    auto hooks = DocumentHooks();
    hooks.current = [] { return VersionedDocument{6, "body"}; };
    hooks.offer = [](const VersionedDocument&) {};
    hosts.m_cores[0].addDocument(s_name, std::move(hooks));
    hosts.m_cores[0].setPeers(hosts.m_peers);
    for (auto ticks = 0; ticks < 5; ++ticks) {
        hosts.tick();
    }

    LONGS_EQUAL(6, hosts.m_cores[2].reportedVersions(s_name).at("host-0"));
}

TEST(GossipCore, removesHostsThatAreNoLongerMembers)
{
    auto hosts = Hosts(3, 1);
    for (auto ticks = 0; ticks < 5; ++ticks) {
        hosts.tick();
    }
    LONGS_EQUAL(3, hosts.m_cores[0].reportedVersions(s_name).size());

    hosts.m_cores[0].setPeers({hosts.m_peers[1]});

    LONGS_EQUAL(2, hosts.m_cores[0].reportedVersions(s_name).size());
}

TEST(GossipCore, externalContactAgeSpreadsThroughPeers)
{
    auto hosts = Hosts(3, 1);
    hosts.m_now += Seconds(1'000);
    hosts.m_cores[0].recordContact(hosts.m_now);
    for (auto ticks = 0; ticks < 5; ++ticks) {
        hosts.tick();
    }

    LONGS_EQUAL(5'000, hosts.m_cores[2].contactAge(hosts.m_now).count());
}
