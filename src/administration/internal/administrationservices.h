#pragma once

#include "accounts/ikeys.h"
#include "administration/internal/auditlog.h"
#include "administration/internal/operators.h"
#include "calls/ioutcomes.h"
#include "calls/iquarantine.h"
#include "configuration/iconfiguration.h"
#include "configuration/iconfigurationhistory.h"
#include "configuration/idrains.h"
#include "coordination/ishards.h"
#include "framework/dump/istatedump.h"
#include "framework/metrics/metrics.h"
#include "gateway/ireadiness.h"
#include "gossip/iconfirmations.h"
#include "programs/iprograms.h"
#include "reporting/ireport.h"

#include <memory>

namespace laburnummill::administration {

/// Services used by the operator API.
struct AdministrationServices
{
    std::shared_ptr<configuration::IConfiguration> configuration;
    std::shared_ptr<configuration::IConfigurationHistory> history;
    std::shared_ptr<configuration::IDrains> drains;
    std::shared_ptr<accounts::IKeys> keys;
    std::shared_ptr<calls::IOutcomes> outcomes;
    std::shared_ptr<calls::IQuarantine> quarantine;
    std::shared_ptr<programs::IPrograms> programs;
    std::shared_ptr<reporting::IReport> report;
    std::shared_ptr<gossip::IConfirmations> confirmations;
    std::shared_ptr<coordination::IMembership> membership;
    std::shared_ptr<framework::IStateDump> dump;
    std::shared_ptr<framework::Metrics> metrics;
    std::shared_ptr<gateway::IReadiness> readiness;
    std::shared_ptr<Operators> operators;
    std::shared_ptr<AuditLog> audit;
};

} // namespace laburnummill::administration
