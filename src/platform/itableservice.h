#pragma once

#include "framework/global/async.h"
#include "platform/platformerrors.h"
#include "platform/platformtypes.h"

#include <string_view>
#include <vector>

namespace laburnummill::platform {

/// The platform's transactional table service: several hundred writes and about two thousand reads a second.
class ITableService
{
public:
    static constexpr std::string_view s_serviceName = "platform.tables";

    virtual ~ITableService() = default;

    /// The rows in the order asked for; nothing for those that do not exist.
    virtual auto read(std::vector<RowKey> keys) -> framework::AsyncResult<std::vector<std::optional<Row>>> = 0;

    /// All changes or none. Yields the new versions in order (0 for a deletion).
    /// Conflict: none took effect. OutcomeUnknown: settle it by reading back what was written.
    virtual auto transact(std::vector<RowChange> changes) -> framework::AsyncResult<std::vector<std::uint64_t>> = 0;

    /// Writes one row.
    auto writeOne(RowChange change) -> framework::AsyncResult<std::uint64_t>
    {
        auto changes = std::vector<RowChange>();
        changes.push_back(std::move(change));
        BOOST_OUTCOME_CO_TRY(const auto versions, co_await transact(std::move(changes)));
        co_return versions.front();
    }

    virtual auto scan(ScanRequest request) -> framework::AsyncResult<std::vector<Row>> = 0;

    /// Reads one row.
    auto readOne(RowKey key) -> framework::AsyncResult<std::optional<Row>>
    {
        auto keys = std::vector<RowKey>();
        keys.push_back(std::move(key));
        BOOST_OUTCOME_CO_TRY(auto rows, co_await read(std::move(keys)));
        co_return std::move(rows.front());
    }
};

} // namespace laburnummill::platform
