#include "framework/global/tasks.h"
#include "framework/logging/boundedsink.h"
#include "framework/logging/log.h"
#include "serving/entryhost.h"
#include "serving/serverleavelog.h"
#include "serving/serverlimitlog.h"

// What a host tells of itself: metrics and its state.

namespace laburnummill::serving {

auto EntryHost::setGauges() const -> void
{
    m_metrics.setGauge("open_requests", m_callerContext.openRequests.count());
    m_metrics.setGauge("unwritten_turns", static_cast<double>(m_journal.unwritten()));
    m_metrics.setGauge("programs", static_cast<double>(m_programs.size()));
    m_metrics.setGauge("backend_connections_made", static_cast<double>(m_connections.createdCount()));
    m_metrics.setGauge("store_calls_relayed", static_cast<double>(m_routedStore.relayedCalls()));
    m_metrics.setGauge("log_lines_dropped", static_cast<double>(framework::droppedLogLines()));
    m_metrics.setGauge("relayed_connections_open", m_link.relays());
    m_metrics.setGauge("buffered_bytes", static_cast<double>(m_bufferMemory.used()));
    m_metrics.setGauge("buffer_denials", static_cast<double>(m_bufferMemory.denials()));
    m_metrics.setGauge("caller_connections", m_callerContext.connections.count());
    m_metrics.setGauge("tasks_failed", static_cast<double>(framework::reportedFailures()));
    m_metrics.setGauge("hosts", m_link.fleetSize());
}

auto EntryHost::logMetrics() const -> void
{
    auto counters = framework::Json::object();
    const auto document = m_metrics.toJson();
    for (const auto& counter : document["counters"]) {
        auto name = counter["name"].get<std::string>();
        for (const auto& [label, value] : counter["labels"].items()) {
            name += " " + value.get<std::string>();
        }
        counters[name] = counter["value"];
    }
    framework::logEvent(framework::LogLevel::Info, "serving", "figures", {{"counters", std::move(counters)}});
}

auto EntryHost::statusResponse(std::string_view path) const -> StatusResponse
{
    setGauges();
    if (path != "/dump") {
        return {.status = 200, .contentType = "text/plain", .body = m_metrics.exposition()};
    }
    auto servers = framework::Json::array();
    for (const auto& [id, backend] : m_fleetState.backends().all()) {
        servers.push_back(
            {{"id", id},
             {"service", backend->entry.service},
             {"running", backend->running},
             {"elsewhere", backend->runningRemotely},
             {"failureShare", backend->health.failureShare(m_clock.now())},
             {"failureShareOfAll", backend->health.combinedFailureShare(backend->running + backend->runningRemotely, m_clock.now())},
             {"overdue", backend->overdue(m_clock.now())},
             {"overdueElsewhere", backend->health.remoteOverdue()},
             {"slowness", backend->health.slowness()},
             {"isDraining", backend->entry.isDraining},
             {"leaving", leaveToJson(*backend->leave, m_clock.now())},
             {"limit", limitToJson(backend->limit->current(m_clock.now()), m_clock.now())},
             {"limitShare", backend->limitShare.value_or(0)}});
    }
    const auto document = framework::Json{{"host", m_settings.host},
                                          {"isReady", isReady()},
                                          {"isCutOffFromServers", m_connector.isCutOff()},
                                          {"configuration", m_fleetState.routes() ? m_fleetState.routes()->version() : 0},
                                          {"servers", std::move(servers)},
                                          {"metrics", m_metrics.toJson()}};
    return {.status = 200, .contentType = "application/json", .body = framework::dumpJson(document)};
}

} // namespace laburnummill::serving
