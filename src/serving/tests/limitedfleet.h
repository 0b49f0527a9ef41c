#pragma once

#include "scheduling/backendchoice.h"
#include "serving/serverlimits.h"

#include <deque>
#include <functional>
#include <memory>
#include <queue>
#include <random>
#include <vector>

namespace laburnummill::serving {

/// Size and load of a fleet whose servers state limits.
struct LimitedFleetPlan
{
    std::size_t hosts = 12;
    std::size_t servers = 12;
    std::size_t limitedServers = 8; ///< the first ones
    double lowestLimit = 1;         ///< limits of the limited servers lie evenly between the two, in requests per second
    double highestLimit = 9;
    double requestsPerSecond = 150; ///< of all callers together
};

/// Hosts that send requests to servers, some of which state a limit from the start, and that exchange heartbeats, on virtual time.
class LimitedFleet
{
public:
    explicit LimitedFleet(const LimitedFleetPlan& plan, std::uint64_t seed = 7);

    auto run(framework::Milliseconds duration) -> void;
    auto setRequestsPerSecond(double rate) -> void { m_requestsPerSecond = rate; }
    auto endLimits() -> void { m_areLimited = false; }

    /// The host does nothing until the end of `duration`; heartbeats for it wait.
    auto freeze(std::size_t host, framework::Milliseconds duration) -> void;
    /// Heartbeats between the host and all others are lost until the end of `duration`.
    auto cutOff(std::size_t host, framework::Milliseconds duration) -> void;
    auto restart(std::size_t host) -> void;
    /// The host announces that it leaves and gets a tenth of its requests from then on.
    auto beginStop(std::size_t host) -> void;

    /// Largest excess over what the limited servers tolerate: one and a half times the limit and 5 requests in any 4 s, from 3 s
    /// after the start on. Hosts count from half a second after their first answer from the server on, except while they are frozen, cut
    /// off or restarted and 3 s longer. 0 or less if none was exceeded.
    auto excess() const -> double;

    /// Requests that a limited server got per second between two times since the start, as a fraction of its limit; the average of all.
    auto usedFraction(framework::Milliseconds from, framework::Milliseconds to) const -> double;

    /// Fraction of all requests that were refused since the start.
    auto refusedFraction() const -> double
    {
        return static_cast<double>(m_refused) / static_cast<double>(std::max<std::size_t>(m_asked, 1));
    }

    /// Longest time between a request's arrival and its refusal.
    auto longestRefusal() const -> framework::Milliseconds { return m_longestRefusal; }

private:
    struct Host
    {
        std::string address;
        std::uint64_t incarnation = 1;
        std::uint64_t sequence = 0;
        framework::Instant frozenUntil{};
        framework::Instant cutOffUntil{};
        framework::Instant excusedUntil{};
        bool isLeaving = false;
        std::unique_ptr<framework::Metrics> metrics;
        std::unique_ptr<backends::BackendRegistry> backends;
        std::unique_ptr<peers::PeerTable> peers;
        std::unique_ptr<ServerLimits> limits;
        std::unique_ptr<scheduling::BackendChoice> choice;
        std::deque<peers::messages::Heartbeat> received; ///< while frozen
    };

    struct Arrival
    {
        framework::Instant at;
        std::size_t host = 0;
        bool isExcused = false;
    };

    struct Event
    {
        framework::Instant at;
        std::uint64_t number = 0; ///< orders events of the same time
        std::function<void()> run;

        auto operator<(const Event& other) const -> bool { return std::tie(at, number) > std::tie(other.at, other.number); }
    };

    auto start(std::size_t host) -> void;
    auto excuse(std::size_t host, framework::Milliseconds duration) -> void;
    auto at(framework::Instant time, std::function<void()> run) -> void;
    auto limitOf(std::size_t server) const -> double;
    auto ask() -> void;
    auto serve(std::size_t host, framework::Instant arrivedAt) -> void;
    auto send(std::size_t host, const backends::BackendPtr& server) -> void;
    auto beat(std::size_t host) -> void;
    auto deliver(Host& to, const peers::messages::Heartbeat& heartbeat) -> void;
    auto settings() const -> scheduling::ChoiceSettings;

    LimitedFleetPlan m_plan;
    std::mt19937_64 m_random;
    framework::Instant m_start{framework::Milliseconds(100'000)};
    framework::Instant m_now = m_start;
    double m_requestsPerSecond;
    bool m_areLimited = true;
    std::uint64_t m_events = 0;
    std::priority_queue<Event> m_queue;
    std::vector<Host> m_hosts;
    std::vector<std::vector<Arrival>> m_arrivals;               ///< by server
    std::vector<std::vector<framework::Instant>> m_firstToldAt; ///< by server and host; the epoch if not yet
    std::size_t m_asked = 0;
    std::size_t m_refused = 0;
    framework::Milliseconds m_longestRefusal{0};
};

} // namespace laburnummill::serving
