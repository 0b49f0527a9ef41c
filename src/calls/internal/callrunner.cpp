#include "calls/internal/callrunner.h"

#include "framework/global/digest.h"

namespace laburnummill::calls {

using configuration::Route;
using framework::Async;
using framework::Milliseconds;

namespace {

constexpr auto s_retryAfter = Milliseconds(500);
constexpr auto s_seedBytes = std::size_t{8};

} // namespace

CallRunner::CallRunner(std::shared_ptr<configuration::IConfiguration> configuration, std::shared_ptr<RequestSender> sender,
                       std::shared_ptr<AtMostOnceRunner> atMostOnce, std::shared_ptr<framework::IClock> clock)
    : m_configuration(std::move(configuration))
    , m_sender(std::move(sender))
    , m_atMostOnce(std::move(atMostOnce))
    , m_clock(std::move(clock))
{}

auto CallRunner::validate(const CallRequest& request, const Route& route) const -> std::optional<CallFailure>
{
    const auto body = framework::parseJson(request.body);
    if (!body || !body->is_object()) {
        return callFailure(CallError::BodyNotJson, Ran::No);
    }
    if (!route.repeatable && request.idempotencyKey.empty()) {
        return callFailure(CallError::IdempotencyKeyMissing, Ran::No);
    }
    return std::nullopt;
}

auto CallRunner::makeRetryPlan(const std::string& pool) -> RetryPlan
{
    auto& budget = m_budgets[pool];
    budget.creditCall();
    return {budget, framework::hash64(framework::randomHex(s_seedBytes))};
}

auto CallRunner::run(CallRequest request, backends::IPieceSink& sink, framework::CancellationPtr cancellation) -> Async<CallOutcome>
{
    const auto current = m_configuration->current();
    if (!current) {
        co_return callFailure(configuration::ConfigurationError::NoneKnown, Ran::No, s_retryAfter);
    }
    const auto* route = current->route(request.route);
    if (route == nullptr) {
        co_return callFailure(CallError::RouteUnknown, Ran::No);
    }
    if (auto refusal = validate(request, *route)) {
        co_return std::move(*refusal);
    }
    request.timeout = std::min(request.timeout, s_maxCallTimeout);
    if (!route->repeatable) {
        co_return co_await m_atMostOnce->run(std::move(request), *route, makeRetryPlan(route->pool), sink, std::move(cancellation));
    }
    co_return co_await runRepeatable(std::move(request), *route, sink, std::move(cancellation));
}

auto CallRunner::runRepeatable(CallRequest request, Route route, backends::IPieceSink& sink, framework::CancellationPtr cancellation)
    -> Async<CallOutcome>
{
    const auto deadline = m_clock->now() + request.timeout;
    auto machine = RepeatableMachine(deadline, Milliseconds(route.timeoutMs), makeRetryPlan(route.pool));
    auto permit = std::optional<scheduling::Permit>();
    auto step = machine.begin(m_clock->now());
    while (!std::holds_alternative<End>(step)) {
        auto event = CallEvent(WaitEnded());
        if (const auto* acquire = std::get_if<AcquirePermit>(&step)) {
            auto acquired = co_await m_sender->acquire(request, route, acquire->timeout);
            if (auto* granted = std::get_if<scheduling::Permit>(&acquired)) {
                permit = std::move(*granted);
                event = AcquireEnded();
            } else {
                event = AcquireEnded{std::get<CallFailure>(std::move(acquired))};
            }
        } else if (const auto* dispatch = std::get_if<Dispatch>(&step)) {
            event = co_await m_sender->send(request, route, *std::exchange(permit, std::nullopt), dispatch->timeout, sink, cancellation);
        } else {
            co_await framework::sleepFor(std::get<Wait>(step).delay);
        }
        const auto hasEnded = std::holds_alternative<DispatchEnded>(event);
        step = machine.handle(cancellation && cancellation->cancelled() && !hasEnded ? CallEvent(CallCancelled()) : event, m_clock->now());
        if (permit && !std::holds_alternative<Dispatch>(step)) {
            m_sender->returnPermit(*std::exchange(permit, std::nullopt));
        }
    }
    co_return std::move(*std::get<End>(step).outcome);
}

} // namespace laburnummill::calls
