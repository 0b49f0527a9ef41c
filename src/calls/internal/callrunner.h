#pragma once

#include "calls/icalls.h"
#include "calls/internal/atmostoncerunner.h"
#include "calls/internal/repeatablemachine.h"
#include "configuration/iconfiguration.h"

#include <map>
#include <memory>

namespace laburnummill::calls {

/// Validates calls and runs them with the state machine for repeatable or non-repeatable calls.
class CallRunner final : public ICalls
{
public:
    CallRunner(std::shared_ptr<configuration::IConfiguration> configuration, std::shared_ptr<RequestSender> sender,
               std::shared_ptr<AtMostOnceRunner> atMostOnce, std::shared_ptr<framework::IClock> clock);

    auto run(CallRequest request, backends::IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<CallOutcome> override;

private:
    auto validate(const CallRequest& request, const configuration::Route& route) const -> std::optional<CallFailure>;
    auto runRepeatable(CallRequest request, configuration::Route route, backends::IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<CallOutcome>;
    auto makeRetryPlan(const std::string& pool) -> RetryPlan;

    std::shared_ptr<configuration::IConfiguration> m_configuration;
    std::shared_ptr<RequestSender> m_sender;
    std::shared_ptr<AtMostOnceRunner> m_atMostOnce;
    std::shared_ptr<framework::IClock> m_clock;
    std::map<std::string, RetryBudget> m_budgets; ///< keyed by pool
};

} // namespace laburnummill::calls
