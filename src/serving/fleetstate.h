#pragma once

#include "backends/backendregistry.h"
#include "framework/global/iclock.h"
#include "rollouts/rollouttypes.h"
#include "routing/routetable.h"
#include "store/storetypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace laburnummill::serving {

/// An operator's order that a data centre gets no new work, or its withdrawal.
struct DataCentreDrain
{
    std::string dataCentre;
    bool isWithdrawn = false;
};

/// A row of the operator that could not be decoded.
struct UnknownRow
{};

using OperatorRow = std::variant<UnknownRow, routing::FleetConfiguration, DataCentreDrain, rollouts::RolloutOrder>;

/// Decodes rows of the operator and of backend servers.
class IRowDecoder
{
public:
    virtual ~IRowDecoder() = default;

    virtual auto operatorRow(const store::Row& row) const -> OperatorRow = 0;

    /// Returns nullopt if the row does not describe a usable server.
    virtual auto backendRow(const store::Row& row) const -> std::optional<backends::BackendEntry> = 0;

    /// The row from which the operator reads how far a rollout has come.
    virtual auto rolloutStatus(const rollouts::RolloutStatus& status) const -> store::Put = 0;

    virtual auto operatorTable() const -> std::string = 0;
    virtual auto backendTable() const -> std::string = 0;
};

/// Local copy of a table, also served to other hosts.
class TableCopy
{
public:
    /// Applies changed rows, or all rows if `isSnapshot`; returns those that changed the copy.
    auto apply(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot) -> std::vector<store::Row>;

    /// Rows changed after `version`, including removed ones, in the order of their versions.
    auto changedAfter(std::uint64_t version) const -> std::vector<store::Row>;

    /// The store's version up to which changes were read from the store.
    auto version() const -> std::uint64_t { return m_version; }

    /// Version of the most recently changed row; 0 if there is none.
    auto newestRowVersion() const -> std::uint64_t { return m_newestRowVersion; }

private:
    std::map<std::string, store::Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_newestRowVersion = 0;
};

/// This host's copy of the configuration, the drained data centres and the backend servers. Older versions never replace
/// newer ones.
class FleetState
{
public:
    FleetState(const IRowDecoder& decoder, const framework::IClock& clock);

    auto applyOperatorRows(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot, std::string_view source) -> void;

    /// `isAuthoritative`: the rows come from the store, or from a host that reaches it, so removed entries are really removed.
    auto applyBackendRows(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot, bool isAuthoritative) -> void;

    auto operatorTable() const -> const TableCopy& { return m_operatorTable; }
    auto backendTable() const -> const TableCopy& { return m_backendTable; }

    /// The active configuration; null if none was received yet.
    auto routes() const -> const routing::RouteTablePtr& { return m_routes; }
    /// The latest order for each service.
    auto rolloutOrders() const -> const std::map<std::string, rollouts::RolloutOrder>& { return m_rolloutOrders; }
    auto backends() -> backends::BackendRegistry& { return m_backends; }
    auto backends() const -> const backends::BackendRegistry& { return m_backends; }

    /// Whether requests can be served: a configuration is active and backend servers are known.
    auto isComplete() const -> bool { return m_routes != nullptr && m_backendTable.newestRowVersion() > 0; }

private:
    const IRowDecoder& m_decoder;
    const framework::IClock& m_clock;
    TableCopy m_operatorTable;
    TableCopy m_backendTable;
    routing::RouteTablePtr m_routes;
    std::set<std::string> m_drained;
    std::map<std::string, rollouts::RolloutOrder> m_rolloutOrders; ///< by service
    backends::BackendRegistry m_backends;
};

} // namespace laburnummill::serving
