#include "testing/measure/policy/policyrun.h"

#include <algorithm>
#include <map>

namespace laburnummill::testing {

using framework::Instant;
using framework::Microseconds;
using framework::Milliseconds;
using framework::Seconds;
using scheduling::PermitKey;

namespace {

constexpr auto s_holder = std::uint64_t{1};
constexpr auto s_warmUp = Seconds(10);
constexpr auto s_patience = Seconds(600);
constexpr auto s_reportInterval = Milliseconds(500);
constexpr auto s_reportLag = Milliseconds(300);
constexpr auto s_tickInterval = Milliseconds(100);
constexpr auto s_eventDelay = Milliseconds(1'000);
constexpr auto s_releaseDelay = Milliseconds(1'000);
constexpr auto s_eventsLost = 0.2;
constexpr auto s_leavesAt = 0.6; ///< of the run
constexpr auto s_returnsAt = 0.75;
constexpr auto s_coldFor = Seconds(5);
constexpr auto s_dataCentres = std::size_t{3};
constexpr auto s_lastEnd = Seconds(7'200);
constexpr auto s_leastPrograms = std::size_t{8};

auto quantile(std::vector<double> values, double share) -> double
{
    if (values.empty()) {
        return 0;
    }
    const auto rank = static_cast<std::size_t>(share * static_cast<double>(values.size() - 1));
    std::ranges::nth_element(values, values.begin() + static_cast<std::ptrdiff_t>(rank));
    return values[rank];
}

auto rulesFor() -> std::unique_ptr<scheduling::AdmissionRules>
{
    auto settings = scheduling::DispatcherSettings();
    settings.queuePerSlot = 64;
    return std::make_unique<scheduling::AdmissionRules>(settings);
}

auto milliseconds(Microseconds time) -> double
{
    return static_cast<double>(time.count()) / 1'000;
}

} // namespace

PolicyRun::PolicyRun(const Shape& shape, const std::vector<ProgramPlan>& plans, std::unique_ptr<scheduling::IPolicy> policy,
                     std::uint64_t seed)
    : m_shape(shape)
    , m_plans(plans)
    , m_dispatcher(rulesFor(), std::move(policy))
    , m_random(seed)
    , m_engines(shape.engines, EngineModel(m_engineSettings))
    , m_leaving(shape.engines, false)
    , m_stepping(shape.engines, false)
    , m_coldUntil(shape.engines)
{
    m_dispatcher.begin(m_now);
    configure();
    m_dispatcher.finishRecovery(m_now);
}

auto PolicyRun::after(Microseconds delay, std::function<void()> run) -> void
{
    m_events.push(m_now + delay, std::move(run));
}

auto PolicyRun::configure() -> void
{
    auto specs = std::vector<scheduling::EngineSpec>();
    for (auto engine = std::size_t{0}; engine < m_engines.size(); ++engine) {
        specs.push_back({"engine-" + std::to_string(engine), m_shape.concurrency, 1, m_leaving[engine]});
    }
    m_dispatcher.configure(specs, m_now);
}

auto PolicyRun::startProgram(const ProgramPlan& plan) -> void
{
    m_threads.push_back(std::make_unique<Thread>());
    auto& thread = *m_threads.back();
    thread.name = plan.name;
    thread.plan = &plan;
    thread.turns = &plan.turns;
    submit(thread);
}

auto PolicyRun::submit(Thread& thread) -> void
{
    const auto& turn = (*thread.turns)[thread.turn];
    auto call = scheduling::ScheduledCall();
    call.key = {s_holder, m_calls.size()};
    call.account = thread.plan->account;
    call.program = thread.name;
    call.root = thread.plan->name;
    call.promptTokens = thread.history + turn.newTokens;
    call.deadline = m_now + s_patience;
    m_calls.push_back(&thread);
    m_dispatcher.submit(call, m_now);
}

auto PolicyRun::handOut() -> void
{
    for (const auto& action : m_dispatcher.takeActions()) {
        if (const auto* granted = std::get_if<scheduling::Granted>(&action)) {
            grant(granted->permit);
        } else if (const auto* refused = std::get_if<scheduling::Refused>(&action)) {
            ++m_refused;
            auto& thread = *m_calls[refused->key.number];
            after(refused->retryAfter, [this, &thread] { submit(thread); });
        }
    }
}

auto PolicyRun::grant(const scheduling::OpenPermit& permit) -> void
{
    const auto engine = std::stoul(permit.engine.substr(permit.engine.find('-') + 1));
    const auto& thread = *m_calls[permit.call.key.number];
    const auto& turn = (*thread.turns)[thread.turn];
    m_engines[engine].admit({permit.call.key, thread.name, thread.history + turn.newTokens, turn.completionTokens});
    if (!m_stepping[engine]) {
        m_stepping[engine] = true;
        after(Microseconds(0), [this, engine, life = m_engines[engine].life()] { stepLoop(engine, life); });
    }
}

auto PolicyRun::stepLoop(std::size_t engine, std::uint64_t life) -> void
{
    const auto length = m_engines[engine].step();
    m_stepping[engine] = length.count() > 0;
    if (!m_stepping[engine]) {
        return;
    }
    after(length, [this, engine, life, answers = m_engines[engine].takeAnswers()] {
        std::ranges::for_each(answers, [this](const auto& answer) { answered(answer); });
        tellEvictions(engine);
        stepLoop(engine, life);
    });
}

auto PolicyRun::answered(const ModelAnswer& answer) -> void
{
    auto& thread = *m_calls[answer.request.key.number];
    const auto& turn = (*thread.turns)[thread.turn];
    m_dispatcher.release(answer.request.key,
                         {scheduling::PermitEnd::Finished, answer.request.promptTokens, answer.cachedTokens, turn.completionTokens}, m_now);
    m_recomputed += static_cast<double>(thread.history - std::min(thread.history, answer.cachedTokens));
    thread.history += turn.newTokens + turn.completionTokens;
    thread.joins = 1 + turn.subAgents.size();
    for (auto agent = std::size_t{0}; agent < turn.subAgents.size(); ++agent) {
        m_threads.push_back(std::make_unique<Thread>());
        auto& child = *m_threads.back();
        child.name = thread.name + "/" + std::to_string(thread.turn) + "." + std::to_string(agent);
        child.plan = thread.plan;
        child.turns = &turn.subAgents[agent];
        child.parent = &thread;
        submit(child);
    }
    after(turn.pause, [this, &thread] { join(thread); });
}

auto PolicyRun::join(Thread& thread) -> void
{
    if (--thread.joins == 0) {
        proceed(thread);
    }
}

auto PolicyRun::proceed(Thread& thread) -> void
{
    if (++thread.turn < thread.turns->size()) {
        submit(thread);
        return;
    }
    thread.ended = m_now;
    forget(thread);
    if (thread.parent != nullptr) {
        join(*thread.parent);
    } else {
        --m_unfinished;
    }
}

auto PolicyRun::forget(const Thread& thread) -> void
{
    after(s_releaseDelay, [this, &thread] {
        for (auto& engine : m_engines) {
            engine.release(thread.name);
        }
    });
}

auto PolicyRun::tellEvictions(std::size_t engine) -> void
{
    for (const auto& program : m_engines[engine].takeEvictions()) {
        if (std::bernoulli_distribution(s_eventsLost)(m_random)) {
            continue;
        }
        after(s_eventDelay, [this, engine, program] { m_dispatcher.cacheChanged("engine-" + std::to_string(engine), program, 0); });
    }
}

auto PolicyRun::reportLoop(std::size_t engine) -> void
{
    const auto& model = m_engines[engine];
    const auto cold = m_now < m_coldUntil[engine];
    const auto report = scheduling::EngineReport{std::to_string(model.life()), static_cast<std::uint32_t>(model.running()), 0, cold, {}};
    after(s_reportLag, [this, engine, report] { m_dispatcher.handleReport("engine-" + std::to_string(engine), report, m_now); });
    after(s_reportInterval, [this, engine] { reportLoop(engine); });
}

auto PolicyRun::tickLoop() -> void
{
    m_dispatcher.tick(m_now);
    m_waitingSum += static_cast<double>(m_dispatcher.waiting());
    m_ticks += 1;
    after(s_tickInterval, [this] { tickLoop(); });
}

auto PolicyRun::leave() -> void
{
    for (auto engine = std::size_t{0}; engine < m_engines.size() / s_dataCentres; ++engine) {
        m_leaving[engine] = true;
    }
    configure();
}

auto PolicyRun::comeBack() -> void
{
    // NOTE Running calls have ended long before: the engines come back as new lives, cold and empty.
    for (auto engine = std::size_t{0}; engine < m_engines.size() / s_dataCentres; ++engine) {
        m_leaving[engine] = false;
        for (const auto& key : m_engines[engine].restart()) {
            m_dispatcher.release(key, {scheduling::PermitEnd::ConnectionFailed, 0, 0, 0}, m_now);
            auto& thread = *m_calls[key.number];
            submit(thread);
        }
        m_coldUntil[engine] = m_now + s_coldFor;
    }
    configure();
}

auto PolicyRun::run() -> PolicyFigures
{
    for (auto engine = std::size_t{0}; engine < m_engines.size(); ++engine) {
        reportLoop(engine);
    }
    tickLoop();
    m_unfinished = m_plans.size();
    for (const auto& plan : m_plans) {
        after(s_warmUp + plan.arrival, [this, &plan] { startProgram(plan); });
    }
    const auto length = std::chrono::duration_cast<Milliseconds>(m_shape.length);
    after(s_warmUp + Milliseconds(static_cast<std::int64_t>(s_leavesAt * static_cast<double>(length.count()))), [this] { leave(); });
    after(s_warmUp + Milliseconds(static_cast<std::int64_t>(s_returnsAt * static_cast<double>(length.count()))), [this] { comeBack(); });
    while (m_unfinished > 0 && m_now - m_start < s_lastEnd) {
        const auto event = m_events.pop();
        m_now = event.at;
        event.run();
        handOut();
    }
    return figures();
}

auto PolicyRun::figures() const -> PolicyFigures
{
    auto all = std::vector<double>();
    auto slowdowns = std::vector<double>();
    auto accounts = std::map<std::string, std::vector<double>>();
    for (const auto& thread : m_threads) {
        if (thread->parent != nullptr) {
            continue;
        }
        // NOTE A program that never ended counts as if it had ended with the run.
        const auto ended = thread->ended == Instant() ? m_now : thread->ended;
        const auto latency = milliseconds(ended - m_start - s_warmUp - thread->plan->arrival);
        all.push_back(latency);
        accounts[thread->plan->account].push_back(latency);
        slowdowns.push_back(latency / static_cast<double>(idleLatency(*thread->turns, m_engineSettings).count()));
    }
    auto figures = PolicyFigures();
    figures.latencyP50 = quantile(all, 0.5);
    figures.latencyP95 = quantile(all, 0.95);
    figures.slowdownP95 = quantile(slowdowns, 0.95);
    for (const auto& [name, latencies] : accounts) {
        if (latencies.size() >= s_leastPrograms) {
            figures.worstAccountP95 = std::max(figures.worstAccountP95, quantile(latencies, 0.95));
        }
    }
    figures.recomputedTokens = m_recomputed;
    for (const auto& engine : m_engines) {
        figures.busyShare += engine.busyMs() / milliseconds(m_now - m_start) / static_cast<double>(m_engines.size());
    }
    figures.meanWaiting = m_waitingSum / m_ticks;
    figures.refused = m_refused;
    figures.unfinished = m_unfinished;
    return figures;
}

} // namespace laburnummill::testing
