#pragma once

#include "coordination/internal/participant.h"
#include "testing/simulation/eventqueue.h"
#include "testing/simulation/virtualstore.h"

#include <deque>
#include <functional>
#include <memory>

namespace laburnummill::testing {

/// What the network and the store do wrong at the moment.
struct VirtualFaults
{
    int loseMessagesPercent = 0;
    int delayMessagesPercent = 0; ///< of the messages come up to `s_longestDelay` late
    bool storeDown = false;
    std::set<std::string> cutOffStore; ///< hosts that do not reach the store
    std::set<std::string> cutOffPeers; ///< hosts that do not reach their peers
    std::set<std::string> missViews;   ///< hosts to which messages with views are lost
    int loseStoreAnswersPercent = 0;   ///< after the effect
    int delayStorePercent = 0;         ///< of the requests take effect late or are answered late
};

/// Members of one data centre on virtual time with the clocks of their hosts. The same seed gives the same run.
class VirtualFleet
{
public:
    VirtualFleet(std::size_t hosts, std::uint64_t seed, const coordination::ProtocolRules& rules);

    /// Handles the next event.
    auto step() -> void;
    auto runFor(framework::Milliseconds time) -> void;

    /// Runs until `condition` holds; the time it took, nothing where it did not within `limit`.
    auto runUntil(const std::function<bool()>& condition, framework::Milliseconds limit) -> std::optional<framework::Milliseconds>;

    auto start(std::size_t host) -> void;
    auto crash(std::size_t host) -> void;
    auto pause(std::size_t host) -> void;
    auto resume(std::size_t host) -> void;

    /// Lets the host leave; its process ends once it has left, or after a while.
    auto leave(std::size_t host) -> void;

    auto isUp(std::size_t host) const -> bool { return m_hosts[host].participant && !m_hosts[host].paused; }
    auto isPaused(std::size_t host) const -> bool { return m_hosts[host].paused; }
    auto size() const -> std::size_t { return m_hosts.size(); }

    /// Hosts that may act for the shard now. A paused host does nothing.
    auto actors(const std::string& shard) -> std::vector<std::size_t>;

    /// The host that acts for the shard, if exactly one does.
    auto actor(const std::string& shard) -> std::optional<std::size_t>;

    auto faults() -> VirtualFaults& { return m_faults; }
    auto now() const -> framework::Instant { return m_now; }
    auto random() -> std::mt19937_64& { return m_random; }
    auto chance(int percent) -> bool { return static_cast<int>(m_random() % 100) < percent; }
    auto participant(std::size_t host) -> coordination::Participant& { return *m_hosts[host].participant; }
    auto host(std::size_t host) const -> std::string { return m_hosts[host].name; }

    /// Notes an event for the report of a violation.
    auto note(std::string event) -> void;
    auto events() const -> const std::deque<std::string>& { return m_events; }

    auto overlaps() const -> std::uint64_t { return m_overlaps; }
    auto invariantViolations() const -> std::uint64_t;

    /// Share of the checks in which a shard had its owner.
    auto ownedShare() const -> double { return m_checks == 0 ? 0 : static_cast<double>(m_owned) / static_cast<double>(m_checks); }

private:
    struct Host
    {
        std::string name;
        int driftPermille = 0;
        std::unique_ptr<coordination::Participant> participant;
        std::uint64_t life = 0;
        bool paused = false;
        std::optional<framework::Instant> leavesBy;
        std::vector<std::function<void()>> held; ///< events that came during the pause
        std::uint64_t pastViolations = 0;
    };
    auto localTime(const Host& host) const -> framework::Instant;
    auto at(framework::Microseconds delay, std::function<void()> run) -> void;
    auto atHost(std::size_t host, framework::Microseconds delay,
                std::function<coordination::Actions(coordination::Participant&, framework::Instant)> run) -> void;
    auto deliver(std::size_t host, std::uint64_t life,
                 const std::function<coordination::Actions(coordination::Participant&, framework::Instant)>& run) -> void;
    auto tick(std::size_t host, std::uint64_t life) -> void;
    auto perform(std::size_t host, coordination::Actions actions) -> void;
    auto send(std::size_t from, const coordination::SendMessage& action) -> void;
    auto ask(std::size_t host, const std::function<void()>& effect,
             std::function<coordination::Actions(coordination::Participant&, framework::Instant, bool)> answer) -> void;
    auto check() -> void;

    coordination::ProtocolRules m_rules;
    std::mt19937_64 m_random;
    framework::Instant m_now;
    EventQueue<framework::Instant> m_queue;
    std::vector<Host> m_hosts;
    VirtualStore m_store;
    VirtualFaults m_faults;
    framework::Instant m_nextCheck;
    std::deque<std::string> m_events;
    std::uint64_t m_overlaps = 0;
    std::uint64_t m_checks = 0;
    std::uint64_t m_owned = 0;
};

} // namespace laburnummill::testing
