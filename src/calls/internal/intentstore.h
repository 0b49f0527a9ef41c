#pragma once

#include "calls/internal/callsteps.h"
#include "platform/itableservice.h"

#include <memory>
#include <vector>

namespace laburnummill::calls {

/// Stores intent records in the platform's tables. Each call has one row, and a second row in the index of open calls while it
/// may still run or its outcome is unknown. Both rows change in one transaction.
class IntentStore
{
public:
    explicit IntentStore(std::shared_ptr<platform::ITableService> tables);

    /// Writes `record`, or removes the row of `key` if `record` is nullopt. If the row does not have the version `expected`
    /// (0: the row does not exist), nothing is written and the result is Conflict.
    auto write(IntentKey key, std::optional<IntentRecord> record, std::uint64_t expected) -> framework::Async<RecordWritten>;

    /// Reads the record of `key`. Does not fill in the executor's status.
    auto read(IntentKey key) -> framework::Async<RecordRead>;

    /// Returns at most `limit` open calls whose row keys follow `after`.
    auto listOpen(std::string after, std::size_t limit) -> framework::AsyncResult<std::vector<StoredIntent>>;

private:
    std::shared_ptr<platform::ITableService> m_tables;
};

} // namespace laburnummill::calls
