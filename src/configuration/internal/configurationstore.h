#pragma once

#include "configuration/iconfigurationhistory.h"
#include "configuration/internal/changeattempt.h"
#include "framework/global/iclock.h"
#include "platform/itableservice.h"

#include <memory>
#include <optional>

namespace laburnummill::configuration {

/// The configuration's rows in the platform: the current document, its head and the history.
class ConfigurationStore final : public IConfigurationHistory
{
public:
    ConfigurationStore(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<framework::IClock> clock);

    /// The platform's state for an attempt, and the current document.
    struct AttemptSnapshot
    {
        StoredVersion stored;
        framework::Json current;
    };

    /// Returns the current document, or nullopt if there is none.
    auto readCurrent() -> framework::AsyncResult<std::optional<framework::Json>>;

    /// Reads the current document and the id of the change that created version `successor`.
    auto readSnapshot(std::uint64_t successor) -> framework::AsyncResult<AttemptSnapshot>;

    /// Writes `document` as the attempt's version.
    auto write(framework::Json document, const ChangeAttempt& attempt) -> framework::AsyncResult<void>;

    auto records() -> framework::AsyncResult<std::vector<ConfigurationRecord>> override;
    auto record(std::uint64_t version) -> framework::AsyncResult<ConfigurationRecord> override;

private:
    std::shared_ptr<platform::ITableService> m_tables;
    std::shared_ptr<framework::IClock> m_clock;
};

} // namespace laburnummill::configuration
