#pragma once

#include "gossip/internal/gossipcore.h"
#include "gossip/monotonicversion.h"
#include "testing/soak/gossip/soakstore.h"

#include <deque>
#include <memory>
#include <optional>
#include <random>
#include <set>

namespace laburnummill::testing {

/// Which faults a run has and which mechanisms are on.
struct SoakPlan
{
    std::size_t dataCentres = 3;
    std::size_t hostsEach = 4;
    bool faults = true;
    bool hostsReadPlatform = true; ///< off: documents spread by gossip only
    gossip::GossipPolicy gossip;
    configuration::ChangePolicy change;
    bool rejectsLowerVersion = true;
};

/// Many hosts' decision objects on virtual time, with loss, delay, restarts, pauses, partitions of data centres and a
/// store that is down, answers old data or loses answers. Checks the invariants at each step.
class GossipSoak
{
public:
    GossipSoak(std::uint64_t seed, SoakPlan plan);

    /// Runs `steps` steps of 100 ms; false at the first violation.
    auto run(std::uint64_t steps) -> bool;

    /// What was violated; empty where nothing was.
    auto violation() const -> const std::string& { return m_violation; }
    auto step() const -> std::uint64_t { return m_step; }
    auto lastEvents() const -> const std::deque<std::string>& { return m_events; }
    auto accepted() const -> std::uint64_t { return m_acceptedVersions.size(); }
    auto slowest() const -> framework::Milliseconds { return m_slowest; }

private:
    struct Host
    {
        gossip::GossipPeer peer;
        std::unique_ptr<gossip::GossipCore> core;
        gossip::MonotonicVersion version;
        std::uint64_t highestSeen = 0;
        framework::Instant cleanSince{}; ///< last restart, pause or cut
        framework::Instant pausedUntil{};
        std::uint64_t tickPhase = 0;
        std::vector<gossip::GossipMessage> inbox; ///< arrived while paused
    };
    struct Flight
    {
        framework::Instant due;
        std::size_t from = 0;
        std::size_t to = 0;
        gossip::GossipMessage message;
    };
    struct Operation
    {
        std::size_t host = 0;
        configuration::ChangeAttempt attempt;
        configuration::ChangeStep next = configuration::ChangeStep::Read;
        framework::Instant due;
    };
    struct Acceptance
    {
        std::size_t host = 0;
        std::uint64_t version = 0;
        framework::Instant at;
    };

    auto boot(std::size_t index) -> void;
    auto stepOnce() -> void;
    auto injectFaults() -> void;
    auto startOperations() -> void;
    auto advanceOperations() -> void;
    auto advanceOperation(Operation& operation) -> void;
    auto writeFor(Operation& operation) -> configuration::WriteOutcome;
    auto finish(const Operation& operation) -> void;
    auto deliver() -> void;
    auto handTo(std::size_t index, const gossip::GossipMessage& message) -> void;
    auto tickHosts() -> void;
    auto readHeads(Host& host) -> void;
    auto send(std::size_t from, const std::vector<gossip::GossipSend>& sends) -> void;
    auto put(Host& host, std::uint64_t version) -> void;
    auto checkInForce() -> void;
    auto isPaused(const Host& host) const -> bool { return host.pausedUntil > m_now; }
    auto isCut(const Host& host) const -> bool { return m_cut == host.peer.dataCentre; }
    auto chance(double probability) -> bool;
    auto below(std::uint64_t limit) -> std::uint64_t;
    auto note(std::string event) -> void;
    auto violate(const std::string& what) -> void;

    SoakPlan m_plan;
    std::mt19937_64 m_random;
    framework::Instant m_now{};
    std::uint64_t m_step = 0;
    std::uint64_t m_nextStamp = 1;
    std::uint64_t m_nextChange = 1;
    std::vector<Host> m_hosts;
    std::vector<gossip::GossipPeer> m_peers;
    std::vector<Flight> m_flights;
    std::vector<Operation> m_operations;
    std::deque<Acceptance> m_pending;
    std::set<std::uint64_t> m_acceptedVersions;
    SoakStore m_store;
    std::string m_cut; ///< the data centre that is cut off from the others
    framework::Instant m_cutUntil{};
    framework::Instant m_storeDownUntil{};
    framework::Instant m_storeOldUntil{};
    framework::Milliseconds m_slowest{};
    std::deque<std::string> m_events;
    std::string m_violation;
};

} // namespace laburnummill::testing
