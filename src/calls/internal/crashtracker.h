#pragma once

#include "calls/calltypes.h"
#include "calls/internal/quarantineregistry.h"
#include "coordination/ishards.h"
#include "framework/global/iclock.h"
#include "framework/rpc/ipeers.h"
#include "platform/itableservice.h"

#include <memory>

namespace laburnummill::calls {

/// Hash of the route and body of a request. Identifies repeats of a request that crashes backend servers.
auto fingerprintOf(const CallRequest& request) -> std::string;

/// Counts crashes across all hosts. Each crash is sent to every host immediately and stored in the platform's tables for hosts
/// that did not receive the message.
class CrashTracker final : public IQuarantine, public std::enable_shared_from_this<CrashTracker>
{
public:
    CrashTracker(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<coordination::IMembership> membership,
                 std::shared_ptr<framework::IPeers> peers, std::shared_ptr<framework::IClock> clock);

    /// Subscribes to crash messages from peers.
    auto listen() -> void;

    /// Writes pending crashes to the store and reads the stored ones every few seconds until stop() is called.
    auto refreshUntilStopped() -> framework::Async<void>;
    auto stop() -> void { m_stopped = true; }

    /// Counts a crash for a request that was running when its backend server closed the connection.
    auto reportCrash(const std::string& fingerprint, const std::string& requestId) -> void;

    auto isQuarantined(const std::string& fingerprint) const -> bool;

    auto list() const -> std::vector<QuarantinedRequest> override;
    auto release(std::string fingerprint, std::string operatorName, std::string reason) -> framework::AsyncResult<void> override;

private:
    auto nowMs() const -> std::int64_t { return framework::unixMilliseconds(m_clock->wallTime()); }
    auto sendToPeers(const CrashEntry& entry) -> void;
    auto persist(CrashEntry entry) -> framework::AsyncResult<void>;
    auto refresh() -> framework::Async<void>;

    std::shared_ptr<platform::ITableService> m_tables;
    std::shared_ptr<coordination::IMembership> m_membership;
    std::shared_ptr<framework::IPeers> m_peers;
    std::shared_ptr<framework::IClock> m_clock;
    QuarantineRegistry m_quarantine;
    std::vector<CrashEntry> m_unpersisted; ///< entries that the next refresh writes to the store
    bool m_stopped = false;
};

} // namespace laburnummill::calls
