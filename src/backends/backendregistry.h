#pragma once

#include "backends/backendhealth.h"
#include "backends/serverleave.h"
#include "backends/statedlimit.h"
#include "backends/statedload.h"
#include "framework/global/time.h"

#include <cstdint>
#include <iterator>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace laburnummill::backends {

/// A backend server's entry in the store, as reported by the server.
struct BackendEntry
{
    std::string id;
    std::string service;
    std::string address; ///< IP:PORT
    std::string dataCentre;
    std::string version;                          ///< of the server's software; empty if not reported
    int slots = 1;                                ///< requests that the server runs concurrently
    bool isDraining = false;                      ///< by this report; see ServerLeave for whether the server gets requests
    framework::Milliseconds remainingColdTime{0}; ///< time until the server's cold start ends
    std::int64_t sequence = 0;                    ///< increases with each report since the server started
    std::int64_t startedAt = 0;                   ///< Unix milliseconds; a different start time under the same id means a different server

    auto operator==(const BackendEntry&) const -> bool = default;
};

/// One incarnation of a backend server, from its start to its end, with the state that this host keeps for it.
struct Backend
{
    BackendEntry entry;
    std::uint64_t number = 0; ///< identifies this incarnation; never reused within the process
    bool isRemoved = false;
    framework::Instant coldUntil{};
    int running = 0;                   ///< requests of this host in progress
    int runningRemotely = 0;           ///< requests of other hosts in progress, as last reported by them
    double averageRunningRemotely = 0; ///< the same, averaged over about a second
    int idleConnections = 0;           ///< idle connections of this host to the server
    int reportedWaiting = 0;           ///< queue length from the server's last response
    framework::Instant reportedAt{};
    StatedLoad load;
    BackendHealth health;
    std::shared_ptr<ServerLeave> leave = std::make_shared<ServerLeave>(); ///< kept if the entry lapses and returns
    std::shared_ptr<StatedLimit> limit = std::make_shared<StatedLimit>(); ///< as above
    std::optional<double> limitShare;               ///< this host's share of the server's limit, in requests per second
    std::multiset<framework::Instant> overdueTimes; ///< times at which this host's unanswered requests become overdue

    auto isCold(framework::Instant now) const -> bool { return now < coldUntil; }

    /// Number of this host's unanswered requests that are overdue.
    auto overdue(framework::Instant now) const -> int
    {
        return static_cast<int>(std::distance(overdueTimes.begin(), overdueTimes.upper_bound(now)));
    }
};

using BackendPtr = std::shared_ptr<Backend>;

/// All known backend servers, by id. Entries that expire during a store outage are kept for a grace period after it.
class BackendRegistry
{
public:
    /// Adds or updates a server with an entry that was just read. Outdated entries are ignored.
    auto put(const BackendEntry& entry, framework::Instant now) -> void;

    /// Removes a server whose entry is no longer in the store. `isConfirmed` means that the entry did not expire because of a
    /// store outage. During an outage a confirmed removal takes effect at once and an unconfirmed one after the grace period.
    /// Removals during the grace period take effect at its end.
    auto remove(std::string_view id, bool isConfirmed, framework::Instant now) -> void;

    /// Called when calls to the store start to fail.
    auto markStoreUnavailable() -> void;

    /// Called when the store responds again; starts the grace period of expired entries.
    auto markStoreAvailable(framework::Instant now) -> void;

    /// Removes the expired entries whose grace period has ended.
    auto expire(framework::Instant now) -> void;

    auto setDrainedDataCentres(std::set<std::string> dataCentres) -> void { m_drainedDataCentres = std::move(dataCentres); }
    auto isDrained(std::string_view dataCentre) const -> bool { return m_drainedDataCentres.contains(std::string(dataCentre)); }

    auto find(std::string_view id) const -> BackendPtr;

    /// Servers of `service` that accept new work: neither known to leave nor in a drained data centre. All decisions about which
    /// server gets a request start from these.
    auto available(std::string_view service) const -> std::vector<BackendPtr>;

    /// Whether servers of `service` are known and some or all of them are known to leave.
    auto isAnyLeaving(std::string_view service) const -> bool;
    auto areAllLeaving(std::string_view service) const -> bool;

    auto all() const -> const std::unordered_map<std::string, BackendPtr>& { return m_backends; }

private:
    auto drop(const std::string& id) -> void;

    std::unordered_map<std::string, BackendPtr> m_backends;
    std::map<std::string, framework::Instant> m_expired; ///< by id: the time at which the server is removed
    /// The last report of a removed server, and what its answers stated.
    struct RemovedServer
    {
        std::int64_t startedAt = 0;
        std::int64_t sequence = 0;
        std::shared_ptr<ServerLeave> leave;
        std::shared_ptr<StatedLimit> limit;
    };

    std::unordered_map<std::string, RemovedServer> m_removed;
    std::set<std::string> m_drainedDataCentres;
    std::uint64_t m_lastNumber = 0;
    bool m_isStoreUnavailable = false;
    framework::Instant m_storeAvailableSince{};
    bool m_wasStoreUnavailable = false;
};

} // namespace laburnummill::backends
