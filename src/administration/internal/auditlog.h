#pragma once

#include "administration/administrationerrors.h"
#include "administration/operatortypes.h"
#include "framework/global/async.h"
#include "framework/global/iclock.h"
#include "framework/global/json.h"
#include "platform/itableservice.h"

#include <memory>
#include <string>

namespace laburnummill::administration {

/// Records operators' changes in a platform table. Each change has one row, written before the change is made and updated with its
/// outcome afterwards.
class AuditLog
{
public:
    AuditLog(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<framework::IClock> clock);

    /// Writes the row for a change about to be made and returns the row's key. After AuditUnavailable the change must not be made.
    auto begin(const OperatorEntry& actor, std::string action, std::string target) -> framework::AsyncResult<std::string>;

    /// Records the outcome of the change: "done" or an error code.
    auto finish(std::string key, std::string outcome) -> framework::Async<void>;

    /// The latest entries, newest first, at most `limit`. If `team` is not empty, only those of its operators.
    auto latest(std::size_t limit, std::string team) -> framework::AsyncResult<framework::Json>;

private:
    std::shared_ptr<platform::ITableService> m_tables;
    std::shared_ptr<framework::IClock> m_clock;
};

} // namespace laburnummill::administration
