#pragma once

#include "accounts/fleetlimiter.h"
#include "backends/awaitedanswer.h"
#include "framework/metrics/metrics.h"
#include "programs/budgetledger.h"
#include "programs/turnjournal.h"
#include "programs/turnstart.h"
#include "scheduling/admission.h"
#include "scheduling/answerending.h"
#include "scheduling/backendchoice.h"
#include "scheduling/crashhistory.h"
#include "serving/authorization.h"
#include "serving/backendclient.h"
#include "serving/eventscanner.h"
#include "serving/fleetstate.h"
#include "serving/hostsettings.h"
#include "serving/latencytracker.h"
#include "serving/loadprobes.h"
#include "serving/overloadmonitor.h"
#include "serving/rolloutcontrol.h"
#include "serving/serverlimits.h"
#include "serving/shutdownschedule.h"
#include "serving/streamcontinuation.h"

#include <boost/asio/steady_timer.hpp>

namespace laburnummill::serving {

/// Components of a host that its requests share.
struct ServingContext
{
    framework::asio::any_io_executor executor;
    const framework::IClock& clock;
    framework::Metrics& metrics;
    FleetState& fleetState;
    accounts::FleetLimiter& limiter;
    programs::TurnJournal& journal;
    programs::BudgetLedger& budgets;
    scheduling::BackendChoice& choice;
    ServerLimits& serverLimits;
    OverloadMonitor& overload;
    RolloutControl& rollouts;
    BackendClient& backendClient;
    scheduling::BufferMemory& bufferMemory;
    LoadProbes& loadProbes;
    LatencyTracker& latencies;
    scheduling::CrashHistory& crashes;
    const ShutdownSchedule& shutdown;
    std::string dataCentre;
    scheduling::Admission& admission;
    std::function<int()> fleetSize;
    std::function<bool()> isIsolated;
    OverloadControl overloadControl = OverloadControl::ByServers;
};

/// With less remaining time, a round trip to a backend server is not possible.
inline constexpr auto s_minRemainingTime = framework::Milliseconds(5);

/// Timer that ends an attempt without progress. Shared with its handler, which may run after the attempt has ended.
struct AttemptWatch
{
    AttemptWatch(const framework::asio::any_io_executor& executor, framework::CancellationPtr attempt)
        : timer(executor)
        , cancellation(std::move(attempt))
    {}

    framework::asio::steady_timer timer;
    framework::CancellationPtr cancellation;
    bool isFinished = false;
    bool isAbandoned = false;
};

/// Handles one request: admission, attempts at backend servers, and the response to the caller.
class RequestHandler final : public IStreamHandler
{
public:
    RequestHandler(ServingContext& context, CallerRequest request, IResponseWriter& response);

    auto run() -> framework::Async<void>;

    auto onHead(const framework::ResponseHead& head) -> framework::Async<bool> override;
    auto onChunk(std::string_view bytes) -> framework::Async<bool> override;
    auto isComplete(ResponseFraming framing) const -> bool override;

private:
    auto forward(std::string_view bytes) -> framework::Async<bool>;
    /// Notes that at least one complete event has arrived. Other bytes are no progress: a stalled server may send some, too.
    auto recordEvent() -> void;
    auto admit() -> std::optional<Refusal>;
    /// Whether the store can keep the turn, as far as its request tells.
    auto checkStorable() const -> std::optional<Refusal>;
    /// Whether servers may be asked to run the request, whose text is complete now.
    auto checkCrashes() -> std::optional<Refusal>;
    auto checkShutdown() const -> std::optional<Refusal>;
    /// Whether the request may still be passed on: not if it waited when this host was asked to stop and might outlast it.
    auto mayBegin() const -> bool;
    auto applyRateLimit() -> framework::Async<std::optional<Refusal>>;
    /// Determines whether the request starts a program.
    auto determinePhase() -> framework::Async<void>;
    /// Whether the request looks like the start of a program as far as this host knows.
    auto mayStartProgram() const -> bool;
    /// Whether some new programs are refused because of the load.
    auto isAdmissionSelective() const -> bool;
    auto prepareTurn() -> framework::Async<std::optional<Refusal>>;
    auto prepareHistory() -> framework::Async<std::optional<Refusal>>;
    auto reserveBudget() -> framework::Async<std::optional<Refusal>>;
    auto admitProgram() -> std::optional<Refusal>;
    auto serve() -> framework::Async<std::optional<Refusal>>;
    /// Ends a request that no server answered: a started response is aborted, otherwise the refusal is returned.
    auto endUnserved(const std::optional<AttemptResult>& last) -> std::optional<Refusal>;
    /// Notes why the answer ends early.
    auto noteEnd(const std::optional<AttemptResult>& last) -> void;
    auto attemptOnce(const backends::BackendPtr& backend) -> framework::Async<AttemptResult>;
    /// `stated`: the load that the server stated before the attempt, if it was asked for it.
    auto logAttempt(const backends::Backend& backend, const AttemptResult& result, framework::Milliseconds took,
                    const std::optional<backends::DatedLoadStatement>& stated) -> void;
    /// Whether the last attempt's stream ended in the middle of an event.
    auto endedInsideEvent() const -> bool;
    /// Key of the latency of a stream's first event. The latency between events has the route's name as key.
    /// Waits in an outage of the store for its return, at most until `latest`.
    auto awaitStore(framework::Instant latest) -> framework::Async<void>;
    auto startView() const -> programs::TurnStartView;
    /// Reserves the tokens of a turn; waits for a store that is away as long as a run could still end in time.
    auto reserveWithStore() -> framework::Async<std::optional<Refusal>>;
    auto runTimeKind() const -> std::string { return m_route->name + "/run"; }
    auto firstEventLatencyKind() const -> std::string { return m_route->name + "/first"; }
    auto watchProgress(std::shared_ptr<AttemptWatch> watch) -> void;
    auto overdueTimeout() const -> framework::Milliseconds;
    auto stallTimeout() const -> framework::Milliseconds;
    auto canTryOtherServer() const -> bool;
    auto slownessOf(const AttemptResult& result) -> double;
    /// Records the time of a completed turn.
    auto recordTurnTime() -> void;
    auto recordRunTime() -> void;
    auto recordOutcome(const backends::BackendPtr& backend, const AttemptResult& result) -> void;
    auto finish(const backends::BackendPtr& backend, AttemptResult result) -> framework::Async<void>;
    /// Returns whether the answer may end as whole.
    auto commitTurn(const backends::BackendPtr& backend) -> framework::Async<bool>;
    auto settleBudget() -> void;
    /// Whether the caller may be handed this many tokens of the turn. Tokens that the turn lacks are requested first.
    auto coverTokens(std::uint64_t tokens) -> framework::Async<bool>;
    auto programKey() const -> programs::ProgramKey;
    auto tokensPerEvent() const -> std::uint64_t;
    auto checkCapacity() -> std::optional<Refusal>;
    /// Servers that this request may be sent to, whatever their load.
    auto usableServers() const -> std::vector<backends::BackendPtr>;
    auto chooseBackend() -> backends::BackendPtr;
    /// Asks those servers for their load that the choice depends on; the choice is then made among these.
    auto probeServers() -> framework::Async<void>;
    auto choiceSettings() const -> scheduling::ChoiceSettings;
    /// Chooses a server, and waits for one if none is available. Returns null if there is none in time, or if there is certainly none.
    auto awaitBackend() -> framework::Async<backends::BackendPtr>;
    auto canRetry(const AttemptResult& result) const -> bool;
    auto refusalAfter(const std::optional<AttemptResult>& last) const -> Refusal;
    auto retryAfter(Refusal refusal) -> std::optional<framework::Milliseconds>;
    auto remainingTime() const -> framework::Milliseconds;
    auto isTurn() const -> bool { return m_history.has_value(); }
    auto watchCaller() -> void;
    auto startDeadline() -> void;
    auto recordPhase(const char* phase, framework::Instant startedAt) -> void;
    /// `status`: of the response; nullopt if there was none.
    auto logEnd(std::string_view outcome, std::optional<unsigned> status) -> void;

    ServingContext& m_context;
    CallerRequest m_request;
    scheduling::BufferMemory::Share m_historyMemory; ///< what the turns before this one occupy in its body
    IResponseWriter& m_response;
    routing::RouteTablePtr m_routes;
    const routing::Route* m_route = nullptr;
    const routing::ServiceSpec* m_service = nullptr;
    std::optional<programs::TurnHistory> m_history; ///< nullopt if the request is not a turn of a program
    accounts::ProgramPhase m_phase = accounts::ProgramPhase::InProgress;
    std::string m_account;
    bool m_isAdmitted = false;
    framework::Instant m_deadline{};
    framework::CancellationPtr m_cancellation;
    framework::asio::steady_timer m_timer;
    struct Interruption
    {
        bool isTimedOut = false;
        bool hasCallerDisconnected = false;
    };
    /// Shared with event handlers that may run after this object is destroyed.
    std::shared_ptr<Interruption> m_interruption = std::make_shared<Interruption>();
    bool m_mayHaveRun = false;
    bool m_isKeptFromLeavingServer = false;
    std::optional<framework::Milliseconds> m_admissionWait; ///< until a refused program may be admitted
    std::optional<double> m_admittedShare;                  ///< of programs like this one, if it was refused for the load
    std::optional<framework::Milliseconds> m_limitWait;     ///< until servers accept the request, if they all state limits
    scheduling::BackendRequirements m_requirements;
    std::vector<backends::BackendPtr> m_probed; ///< servers that have just stated their load
    std::vector<programs::Ancestor> m_ancestors;
    bool m_continuesProgram = false; ///< the turn continues one of the same program
    scheduling::Fingerprint m_fingerprint = 0;
    std::string m_input; ///< of a turn: its own input, without that of previous turns
    std::uint64_t m_reservedTokens = 0;
    std::optional<framework::Instant> m_storeAwaitedAt; ///< when the last wait for the store ended
    bool m_isGrantRecorded = true;                      ///< the program's row contains the reserved tokens
    programs::TurnPtr m_turn;                           ///< null until the turn has ended
    EventScanner m_events;
    std::optional<StreamContinuation> m_continuation; ///< of a stream that further runs may continue
    scheduling::AnswerEnding m_ending;
    int m_eventsBeforeAttempt = 0;
    framework::Instant m_firstEventAt{};
    framework::Instant m_lastEventAt{};
    std::optional<backends::AwaitedAnswer> m_awaited; ///< of the current attempt, until the first event of its response is complete
    framework::Instant m_attemptStartedAt{};
    framework::Instant m_progressDeadline{}; ///< an attempt without a further complete event until then is overdue
    int m_attempts = 0;
    framework::Json m_attemptLog = framework::Json::array();
    framework::Json m_phases = framework::Json::object(); ///< duration of each phase, in milliseconds
    std::string m_commit;
};

} // namespace laburnummill::serving
