#pragma once

#include "backends/backendbook.h"
#include "framework/global/iclock.h"
#include "routing/routetable.h"
#include "store/storetypes.h"

#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>

namespace laburnummill::serving {

/// That a data centre is to get no new work; set or withdrawn by the operator.
struct DataCentreDrain
{
    std::string dataCentre;
    bool isWithdrawn = false;
};

/// A row of the operator's that means nothing to us.
struct UnknownRow
{};

using OperatorRow = std::variant<UnknownRow, routing::FleetConfiguration, DataCentreDrain>;

/// Reads rows of the operator and of backend servers.
class IRowDecoder
{
public:
    virtual ~IRowDecoder() = default;

    virtual auto operatorRow(const store::Row& row) const -> OperatorRow = 0;

    /// Nothing where the row names no server that could be used.
    virtual auto backendRow(const store::Row& row) const -> std::optional<backends::BackendEntry> = 0;

    virtual auto operatorTable() const -> std::string = 0;
    virtual auto backendTable() const -> std::string = 0;
};

/// A table's rows as far as this host knows them; also what it tells to other hosts.
class TableCopy
{
public:
    /// Takes rows that changed, or all rows; returns those that were news.
    auto apply(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot) -> std::vector<store::Row>;

    /// Rows changed after a version, removed ones included.
    auto changedAfter(std::uint64_t version) const -> std::vector<store::Row>;

    /// Of the store, up to which changes were read from it.
    auto version() const -> std::uint64_t { return m_version; }

    /// Version of the row that changed last; 0 where no row is known.
    auto newestRowVersion() const -> std::uint64_t { return m_newestRowVersion; }

private:
    std::map<std::string, store::Row> m_rows;
    std::uint64_t m_version = 0;
    std::uint64_t m_newestRowVersion = 0;
};

/// What this host knows of configuration, drained data centres and backend servers. It only ever moves forward.
class FleetState
{
public:
    FleetState(const IRowDecoder& decoder, const framework::IClock& clock);

    auto applyOperatorRows(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot, std::string_view source) -> void;

    /// `isAuthoritative`: the rows come from the store, or from a host that reaches it; entries that are gone are then gone.
    auto applyBackendRows(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot, bool isAuthoritative) -> void;

    auto operatorTable() const -> const TableCopy& { return m_operatorTable; }
    auto backendTable() const -> const TableCopy& { return m_backendTable; }

    /// The configuration in force; null where none is known yet.
    auto routes() const -> const routing::RouteTablePtr& { return m_routes; }
    auto backends() -> backends::BackendBook& { return m_backends; }
    auto backends() const -> const backends::BackendBook& { return m_backends; }

    /// Whether requests can be served: a configuration is in force and backend servers are known.
    auto isComplete() const -> bool { return m_routes != nullptr && m_backendTable.newestRowVersion() > 0; }

private:
    const IRowDecoder& m_decoder;
    const framework::IClock& m_clock;
    TableCopy m_operatorTable;
    TableCopy m_backendTable;
    routing::RouteTablePtr m_routes;
    std::set<std::string> m_drained;
    backends::BackendBook m_backends;
};

} // namespace laburnummill::serving
