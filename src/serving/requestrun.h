#pragma once

#include "accounts/fleetlimiter.h"
#include "backends/awaitedanswer.h"
#include "framework/metrics/metrics.h"
#include "programs/budgetledger.h"
#include "programs/turnjournal.h"
#include "scheduling/admission.h"
#include "scheduling/backendchoice.h"
#include "serving/eventscanner.h"
#include "serving/exchange.h"
#include "serving/fleetknowledge.h"
#include "serving/latencybook.h"
#include "serving/quarantine.h"

#include <boost/asio/steady_timer.hpp>

namespace laburnummill::serving {

/// What requests share on a host.
struct ServingParts
{
    framework::asio::any_io_executor executor;
    const framework::IClock& clock;
    framework::Metrics& metrics;
    FleetKnowledge& knowledge;
    accounts::FleetLimiter& limiter;
    programs::TurnJournal& journal;
    programs::BudgetLedger& budgets;
    scheduling::BackendChoice& choice;
    Exchange& exchange;
    LatencyBook& latencies;
    Quarantine& quarantine;
    std::string dataCentre;
    scheduling::Admission& admission;
    std::function<int()> fleetSize;
    std::function<bool()> isIsolated;
};

/// The life of one request: what it may do, where it is sent, and what its caller is told.
class RequestRun final : public IPieces
{
public:
    RequestRun(ServingParts& parts, CallerRequest request, IAnswer& answer);

    auto run() -> framework::Async<void>;

    auto onHead(const http::response_header<>& head) -> framework::Async<bool> override;
    auto onPiece(std::string_view bytes) -> framework::Async<bool> override;

private:
    auto admit() -> std::optional<Refusal>;
    auto takeFromLimit() -> framework::Async<std::optional<Refusal>>;
    auto stage() const -> accounts::ProgramPhase;
    auto prepareTurn() -> framework::Async<std::optional<Refusal>>;
    auto serve() -> framework::Async<std::optional<Refusal>>;
    auto attemptOnce(const backends::BackendPtr& backend) -> framework::Async<AttemptResult>;
    /// Under which the time until a stream's first event is kept; that between events has the route's name.
    auto firstEventKind() const -> std::string { return m_route->name + "/first"; }
    auto overdueAfter() const -> framework::Milliseconds;
    auto mayGoElsewhere() const -> bool;
    auto judge(const backends::BackendPtr& backend, const AttemptResult& result) -> void;
    auto finish(const backends::BackendPtr& backend, AttemptResult result) -> framework::Async<void>;
    auto commitTurn(const backends::BackendPtr& backend) -> framework::Async<void>;
    auto settleTurn() -> void;
    auto programKey() const -> programs::ProgramKey;
    auto tokensPerEvent() const -> std::uint64_t;
    auto turnAway() -> std::optional<Refusal>;
    auto chooseBackend() -> backends::BackendPtr;
    auto mayTryAgain(const AttemptResult& result) const -> bool;
    auto refusalAfter(const std::optional<AttemptResult>& last) const -> Refusal;
    auto retryAfter(Refusal refusal) -> std::optional<framework::Milliseconds>;
    auto timeLeft() const -> framework::Milliseconds;
    auto isTurn() const -> bool { return m_route != nullptr && m_route->keepsTurns; }
    auto watchCaller() -> void;
    auto startDeadline() -> void;
    auto noteStage(const char* stage, framework::Instant began) -> void;
    auto logEnd(std::string_view outcome, unsigned status) -> void;

    ServingParts& m_parts;
    CallerRequest m_request;
    IAnswer& m_answer;
    routing::RouteTablePtr m_routes;
    const routing::Route* m_route = nullptr;
    const routing::ServiceSpec* m_service = nullptr;
    std::string m_account;
    bool m_isAdmitted = false;
    framework::Instant m_deadline{};
    framework::CancellationPtr m_cancellation;
    framework::asio::steady_timer m_timer;
    struct Fate
    {
        bool isTimedOut = false;
        bool hasCallerLeft = false;
    };
    std::shared_ptr<Fate> m_fate = std::make_shared<Fate>(); ///< outlives the run in handlers that come late
    bool m_mayHaveRun = false;
    scheduling::WorkNeed m_need;
    std::vector<programs::Ancestor> m_ancestors;
    std::string m_input; ///< of a turn: its own input, without those before it
    std::uint64_t m_reservedTokens = 0;
    programs::TurnPtr m_turn; ///< once it has ended
    EventScanner m_events;
    framework::Instant m_firstEventAt{};
    framework::Instant m_lastEventAt{};
    std::optional<backends::AwaitedAnswer> m_awaited; ///< of the attempt under way, until something comes back
    framework::Instant m_attemptBegan{};
    int m_attempts = 0;
    framework::Json m_attemptLog = framework::Json::array();
    framework::Json m_stages = framework::Json::object(); ///< milliseconds that parts of the way took
    std::string m_commit;
};

} // namespace laburnummill::serving
