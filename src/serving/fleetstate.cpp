#include "serving/fleetstate.h"

#include "framework/logging/log.h"
#include "serving/serverleavelog.h"

#include <algorithm>

namespace laburnummill::serving {

namespace {

using framework::LogLevel;

} // namespace

auto TableCopy::apply(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot) -> std::vector<store::Row>
{
    auto changedRows = std::vector<store::Row>();
    for (const auto& row : rows) {
        auto& known = m_rows[row.address.key];
        if (row.version > known.version) {
            known = row;
            changedRows.push_back(row);
        }
    }
    if (isSnapshot && version >= m_version) {
        for (auto& [key, known] : m_rows) {
            const auto isPresent = std::ranges::any_of(rows, [&key](const auto& row) { return row.address.key == key; });
            if (!isPresent && !known.isRemoved && known.version <= version) {
                known.isRemoved = true;
                known.value.clear();
                known.version = version;
                changedRows.push_back(known);
            }
        }
    }
    m_version = std::max(m_version, version);
    for (const auto& row : changedRows) {
        m_newestRowVersion = std::max(m_newestRowVersion, row.version);
    }
    return changedRows;
}

auto TableCopy::changedAfter(std::uint64_t version) const -> std::vector<store::Row>
{
    auto rows = std::vector<store::Row>();
    for (const auto& [key, row] : m_rows) {
        if (row.version > version) {
            rows.push_back(row);
        }
    }
    std::ranges::sort(rows, {}, &store::Row::version);
    return rows;
}

FleetState::FleetState(const IRowDecoder& decoder, const framework::IClock& clock)
    : m_decoder(decoder)
    , m_clock(clock)
{}

auto FleetState::applyOperatorRows(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot, std::string_view source)
    -> void
{
    for (const auto& row : m_operatorTable.apply(rows, version, isSnapshot)) {
        auto decoded = m_decoder.operatorRow(row);
        if (auto* configuration = std::get_if<routing::FleetConfiguration>(&decoded)) {
            if (m_routes && configuration->version <= m_routes->version()) {
                continue;
            }
            m_routes = std::make_shared<routing::RouteTable>(std::move(*configuration));
            framework::logEvent(LogLevel::Info, "configuration", "in_force", {{"version", m_routes->version()}, {"source", source}});
        } else if (const auto* drain = std::get_if<DataCentreDrain>(&decoded)) {
            if (drain->isWithdrawn) {
                m_drained.erase(drain->dataCentre);
            } else {
                m_drained.insert(drain->dataCentre);
            }
            m_backends.setDrainedDataCentres(m_drained);
            framework::logEvent(LogLevel::Info, "configuration", drain->isWithdrawn ? "data_centre_returned" : "data_centre_drained",
                                {{"dataCentre", drain->dataCentre}, {"source", source}});
        } else if (auto* order = std::get_if<rollouts::RolloutOrder>(&decoded)) {
            m_rolloutOrders[order->service] = std::move(*order);
        } else {
            framework::logEvent(LogLevel::Warning, "configuration", "row_unreadable", {{"row", row.address.key}});
        }
    }
}

auto FleetState::applyBackendRows(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot, bool isAuthoritative) -> void
{
    const auto now = m_clock.now();
    for (const auto& row : m_backendTable.apply(rows, version, isSnapshot)) {
        const auto entry = row.isRemoved ? std::nullopt : m_decoder.backendRow(row);
        if (entry) {
            const auto before = m_backends.find(entry->id);
            const auto wasLeaving = before && before->leave->isLeaving();
            m_backends.put(*entry, now);
            const auto after = m_backends.find(entry->id);
            if (after) {
                logLeaveChange(*after, wasLeaving, now);
            }
        } else {
            m_backends.remove(row.address.key, isAuthoritative, now);
        }
    }
}

} // namespace laburnummill::serving
