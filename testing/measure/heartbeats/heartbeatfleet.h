#pragma once

#include "accounts/countupdates.h"
#include "peers/heartbeatschedule.h"
#include "peers/peertable.h"

#include <deque>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// What a fleet of hosts on virtual time was seen to do.
struct HeartbeatFigures
{
    std::uint64_t datagrams = 0; ///< taken, by all hosts
    std::uint64_t bytes = 0;
    std::uint64_t bytesBetweenDataCentres = 0;
    std::uint64_t calls = 0;            ///< of the account that keeps to its rate
    std::uint64_t refusedWithin = 0;    ///< of these
    std::uint64_t mostInWindow = 0;     ///< requests of the account far above its rate, in any 5 s
    framework::Milliseconds known{0};   ///< until all hosts knew a version that one host learnt
    framework::Milliseconds noticed{0}; ///< until all others took a dead host for silent
};

/// Hosts that tell each other by heartbeats what they admit, without sockets: the product's table of hosts and its limits.
class HeartbeatFleet
{
public:
    HeartbeatFleet(int hosts, int dataCentres, std::uint64_t seed);

    /// Two accounts: one asks for seven tenths of its rate, one for 7.5 times as much, spread over all hosts.
    auto run(framework::Milliseconds time) -> void;

    /// One host learns a version, and one dies; how long until the others know.
    auto measureNews() -> void;

    auto figures() const -> const HeartbeatFigures& { return m_figures; }

    static constexpr auto s_ratePerSecond = 16.0;
    static constexpr auto s_burst = 16.0;

private:
    struct Host
    {
        Host(const std::string& ownAddress, std::uint64_t seed)
            : address(ownAddress)
            , table(ownAddress)
            , limiter(seed)
        {}

        std::string address;
        std::string dataCentre;
        peers::PeerTable table;
        accounts::FleetLimiter limiter;
        accounts::CountUpdates countNews;
        peers::HeartbeatSchedule pace;
        std::uint64_t sequence = 0;
        std::uint64_t version = 0;
        bool isDead = false;
    };

    struct Datagram
    {
        std::size_t to = 0;
        peers::messages::Heartbeat heartbeat;
    };

    auto step() -> void;
    auto beat(Host& host) -> void;
    auto send(const Host& from, const std::string& address, const peers::messages::Heartbeat& heartbeat) -> void;
    auto take(Host& host, const peers::messages::Heartbeat& heartbeat) -> void;
    auto ask(Host& host) -> void;

    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<std::string, std::size_t, std::less<>> m_byAddress;
    std::vector<Datagram> m_underWay;
    std::mt19937_64 m_random;
    framework::Instant m_now{std::chrono::seconds(1'000)};
    std::deque<framework::Instant> m_admitted; ///< of the account above its rate
    bool m_isAsked = false;
    HeartbeatFigures m_figures;
};

} // namespace laburnummill::testing
