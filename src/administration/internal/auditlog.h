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

/// Who changed what, kept by the platform: one row before a change is made and its outcome in the same row after it.
class AuditLog
{
public:
    AuditLog(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<framework::IClock> clock);

    /// Records the intention; yields the row's key. AuditUnavailable: the change must not be made.
    auto begin(const OperatorEntry& actor, std::string action, std::string target) -> framework::AsyncResult<std::string>;

    /// Records how the change ended, e.g. "done" or a failure's code.
    auto finish(std::string key, std::string outcome) -> framework::Async<void>;

    /// The latest entries, newest first, at most `limit`; of one team where `team` is not empty.
    auto latest(std::size_t limit, std::string team) -> framework::AsyncResult<framework::Json>;

private:
    std::shared_ptr<platform::ITableService> m_tables;
    std::shared_ptr<framework::IClock> m_clock;
};

} // namespace laburnummill::administration
