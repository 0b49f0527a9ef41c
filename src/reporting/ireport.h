#pragma once

#include "framework/global/async.h"
#include "framework/global/json.h"
#include "framework/global/time.h"

#include <string_view>

namespace laburnummill::reporting {

/// The shared report: one set of figures, each with its definition, count, window and what is missing.
class IReport
{
public:
    static constexpr std::string_view s_serviceName = "reporting.report";

    virtual ~IReport() = default;

    /// The figures of all hosts between two times, as far as they were kept; of one team where `team` is not empty.
    virtual auto build(framework::WallTime from, framework::WallTime to, std::string team) -> framework::AsyncResult<framework::Json> = 0;
};

} // namespace laburnummill::reporting
