#pragma once

#include "accounts/ikeys.h"
#include "accounts/ilimits.h"
#include "calls/icalls.h"
#include "configuration/iconfiguration.h"
#include "coordination/ishards.h"
#include "framework/global/iclock.h"
#include "framework/http/ihttphandler.h"
#include "framework/metrics/metrics.h"
#include "gateway/internal/answersink.h"
#include "gateway/requestparsing.h"
#include "programs/iprograms.h"
#include "reporting/ifigures.h"

#include <map>
#include <memory>

namespace laburnummill::gateway {

/// Services used by the caller API.
struct CallerServices
{
    std::shared_ptr<accounts::IKeys> keys;
    std::shared_ptr<accounts::ILimits> limits;
    std::shared_ptr<configuration::IConfiguration> configuration;
    std::shared_ptr<programs::IPrograms> programs;
    std::shared_ptr<calls::ICalls> calls;
    std::shared_ptr<reporting::IFigures> figures;
    std::shared_ptr<framework::Metrics> metrics;
    std::shared_ptr<framework::IClock> clock;
    std::shared_ptr<coordination::IMembership> membership;
};

/// Handles the caller API: authenticates each request, checks its rate limit, runs it and writes the response.
class CallerHandler final : public framework::IHttpHandler
{
public:
    explicit CallerHandler(CallerServices services);

    auto handle(const framework::HttpRequest& request, framework::IHttpResponder& responder) -> framework::Async<void> override;
    auto rejection(std::error_code error) -> framework::HttpResponse override;

    /// True if a configuration and keys are loaded, rate limiting is ready, the host has joined the cluster and is not stopping.
    auto isReady() const -> bool;
    auto beginStopping() -> void { m_stopping = true; }

private:
    struct RunningCall
    {
        accounts::Caller caller;
        framework::CancellationPtr cancellation;
    };

    auto answerOperational(const framework::HttpRequest& request) const -> std::optional<framework::HttpResponse>;
    auto authenticate(const framework::HttpRequest& request, const CallerRequest& parsed) const -> framework::Result<accounts::Caller>;
    auto runRequest(const accounts::Caller& caller, const framework::HttpRequest& request, CallerRequest parsed,
                    framework::IHttpResponder& responder, const accounts::Token& token) -> framework::Async<void>;
    auto runCall(const accounts::Caller& caller, const framework::HttpRequest& request, CallerRequest parsed,
                 framework::IHttpResponder& responder, const accounts::Token& token) -> framework::Async<void>;
    auto writeOutcome(calls::CallOutcome outcome, AnswerSink& sink, framework::IHttpResponder& responder, const std::string& id,
                      const std::string& model, bool chatCompletions) -> framework::Async<void>;
    auto reject(const calls::CallFailure& failure, framework::IHttpResponder& responder) -> framework::Async<void>;
    auto recordCall(const accounts::Caller& caller, const CallerRequest& parsed, const calls::CallOutcome& outcome, double milliseconds)
        -> void;
    auto recordProgramEnd(const std::string& account, const programs::StatusOutcome& outcome) -> void;
    auto recordRefusal(const std::string& account, std::string_view code) -> void;
    auto cancelWithdrawnCallers() -> void;

    CallerServices m_services;
    std::map<std::uint64_t, RunningCall> m_runningCalls;
    std::uint64_t m_nextCallNumber = 1;
    bool m_stopping = false;
};

} // namespace laburnummill::gateway
