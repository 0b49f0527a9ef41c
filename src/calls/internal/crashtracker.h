#pragma once

#include "calls/calltypes.h"
#include "calls/internal/quarantineregistry.h"
#include "coordination/ishards.h"
#include "framework/global/iclock.h"
#include "framework/rpc/ipeers.h"
#include "platform/itableservice.h"

#include <memory>

namespace laburnummill::calls {

/// Hash of the route and the body that a request has towards back ends.
auto fingerprintOf(const CallRequest& request) -> std::string;

/// Counts crashes over all hosts: told to every host at once, and kept in the platform's tables for those that did not hear.
class CrashTracker final : public IQuarantine, public std::enable_shared_from_this<CrashTracker>
{
public:
    CrashTracker(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<coordination::IMembership> membership,
                 std::shared_ptr<framework::IPeers> peers, std::shared_ptr<framework::IClock> clock);

    /// Begins to listen to peers.
    auto listen() -> void;

    /// Reads the kept crashes every few seconds, until stop().
    auto refreshUntilStopped() -> framework::Async<void>;
    auto stop() -> void { m_stopped = true; }

    /// Counts a request that was running when its back end broke off.
    auto reportCrash(const std::string& fingerprint, const std::string& requestId) -> void;

    auto isQuarantined(const std::string& fingerprint) const -> bool;

    auto list() const -> std::vector<QuarantinedRequest> override;
    auto release(std::string fingerprint, std::string who, std::string why) -> framework::AsyncResult<void> override;

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
    std::vector<CrashEntry> m_unpersisted; ///< for the next refresh to write
    bool m_stopped = false;
};

} // namespace laburnummill::calls
