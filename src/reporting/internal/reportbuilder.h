#pragma once

#include "configuration/iconfiguration.h"
#include "configuration/iconfigurationhistory.h"
#include "platform/itableservice.h"
#include "reporting/figurewindow.h"
#include "reporting/ireport.h"

#include <map>
#include <memory>
#include <set>

namespace laburnummill::reporting {

/// What was read for a report: the sum, who told how much, and what is missing.
struct ReportInput
{
    FigureWindow sum;
    std::map<std::string, std::uint64_t> windowsByHost;
    std::map<std::string, std::set<std::string>> hostsByDataCentre;
    std::uint64_t windowsExpected = 0; ///< of a host that was there throughout
    std::uint64_t windowsDropped = 0;  ///< told by hosts as lost
};

/// The report's document from its input; pure.
auto reportDocument(const ReportInput& input, const configuration::Configuration& configuration, framework::WallTime from,
                    framework::WallTime to, const std::string& team) -> framework::Json;

/// Builds reports from the platform's table of figures and the configuration's history.
class ReportBuilder final : public IReport
{
public:
    ReportBuilder(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<configuration::IConfiguration> configuration,
                  std::shared_ptr<configuration::IConfigurationHistory> history);

    auto build(framework::WallTime from, framework::WallTime to, std::string team) -> framework::AsyncResult<framework::Json> override;

private:
    auto read(framework::WallTime from, framework::WallTime to) -> framework::AsyncResult<ReportInput>;
    auto drainChanges(framework::WallTime from, framework::WallTime to) -> framework::Async<framework::Json>;

    std::shared_ptr<platform::ITableService> m_tables;
    std::shared_ptr<configuration::IConfiguration> m_configuration;
    std::shared_ptr<configuration::IConfigurationHistory> m_history;
};

} // namespace laburnummill::reporting
