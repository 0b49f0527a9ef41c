#pragma once

#include "scheduling/internal/executorlink.h"
#include "scheduling/ischeduler.h"

namespace laburnummill::scheduling {

/// Acquires permits from the pools' dispatchers, which may run on other hosts.
class PoolScheduler final : public IScheduler, public std::enable_shared_from_this<PoolScheduler>
{
public:
    PoolScheduler(framework::asio::any_io_executor executor, SchedulingServices services, std::shared_ptr<DispatcherHost> host);

    auto acquire(PermitRequest request) -> framework::AsyncResult<Permit> override;
    auto release(const Permit& permit, const PermitUse& use) -> void override;

    /// Registers the handler for new dispatchers' queries of open permits.
    auto serve() -> void;
    auto tick() -> void;

private:
    auto link(const std::string& pool, const std::string& dataCentre) -> std::shared_ptr<ExecutorLink>;
    auto permitOf(const PermitOutcome& outcome, const std::string& pool) const -> framework::Result<Permit>;

    framework::asio::any_io_executor m_executor;
    SchedulingServices m_services;
    std::shared_ptr<DispatcherHost> m_host;
    std::map<std::pair<std::string, std::string>, std::shared_ptr<ExecutorLink>> m_links; ///< by pool and data centre
    std::uint64_t m_nextNumber = 1;
};

} // namespace laburnummill::scheduling
