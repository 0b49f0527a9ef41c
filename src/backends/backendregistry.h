#pragma once

#include "backends/backendhealth.h"
#include "framework/global/time.h"

#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnummill::backends {

/// What a backend server says of itself.
struct BackendEntry
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string dataCentre;
    int slots = 1; ///< requests it works on at once
    bool isDraining = false;
    framework::Milliseconds remainingColdTime{0}; ///< time until its cold start ends
    std::int64_t sequence = 0;                    ///< rises with each report of one start
    std::int64_t startedAt = 0;                   ///< Unix milliseconds; another start under the same id is another server

    auto operator==(const BackendEntry&) const -> bool = default;
};

/// One start of a backend server with what this host knows of it.
struct Backend
{
    BackendEntry entry;
    std::uint64_t number = 0; ///< of this start, never used again in the process
    bool isRemoved = false;
    framework::Instant coldUntil{};
    int running = 0;         ///< requests of this host under way
    int runningRemotely = 0; ///< requests of other hosts, as they said last
    int idleConnections = 0; ///< of this host, ready for a request
    int reportedWaiting = 0; ///< from its last answer
    framework::Instant reportedAt{};
    BackendHealth health;
    std::multiset<framework::Instant> overdueTimes; ///< when requests of this host become overdue of which nothing came back yet

    auto isCold(framework::Instant now) const -> bool { return now < coldUntil; }

    /// Requests of this host that wait unusually long.
    auto overdue(framework::Instant now) const -> int
    {
        return static_cast<int>(std::distance(overdueTimes.begin(), overdueTimes.upper_bound(now)));
    }
};

using BackendPtr = std::shared_ptr<Backend>;

/// All backend servers known, by id. Entries that lapse while the store is disturbed stay for a while.
class BackendRegistry
{
public:
    /// Takes an entry as just read.
    auto put(const BackendEntry& entry, framework::Instant now) -> void;

    /// The server's entry is no longer in the store. `isConfirmed`: it did not lapse because the store was away.
    auto remove(std::string_view id, bool isConfirmed, framework::Instant now) -> void;

    /// Calls to the store began to fail.
    auto markStoreUnavailable() -> void;

    /// The store answers again.
    auto markStoreAvailable(framework::Instant now) -> void;

    /// Drops lapsed entries whose time is over.
    auto expire(framework::Instant now) -> void;

    auto setDrainedDataCentres(std::set<std::string> dataCentres) -> void { m_drainedDataCentres = std::move(dataCentres); }
    auto isDrained(std::string_view dataCentre) const -> bool { return m_drainedDataCentres.contains(std::string(dataCentre)); }

    auto find(std::string_view id) const -> BackendPtr;

    /// Servers of `service` that may get new work: neither draining nor in a drained data centre.
    auto available(std::string_view service) const -> std::vector<BackendPtr>;

    auto all() const -> const std::unordered_map<std::string, BackendPtr>& { return m_backends; }

private:
    auto drop(const std::string& id) -> void;

    std::unordered_map<std::string, BackendPtr> m_backends;
    std::map<std::string, framework::Instant> m_lapsed; ///< id to the moment from which it counts as gone
    /// The last report of a server that is gone.
    struct RemovedServer
    {
        std::int64_t startedAt = 0;
        std::int64_t sequence = 0;
    };

    std::unordered_map<std::string, RemovedServer> m_removed;
    std::set<std::string> m_drainedDataCentres;
    std::uint64_t m_lastNumber = 0;
    bool m_isStoreUnavailable = false;
    framework::Instant m_storeAvailableSince{};
    bool m_wasStoreUnavailable = false;
};

} // namespace laburnummill::backends
