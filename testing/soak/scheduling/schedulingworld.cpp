#include "testing/soak/scheduling/schedulingworld.h"

#include "scheduling/internal/fairsharepolicy.h"

#include <algorithm>

namespace laburnummill::testing {

using framework::Instant;
using framework::Milliseconds;
using framework::Seconds;
using scheduling::AdmissionRules;
using scheduling::Dispatcher;
using scheduling::OpenPermit;
using scheduling::PermitEnd;
using scheduling::PermitKey;

namespace {

constexpr auto s_accounts = std::int64_t{5};
constexpr auto s_programs = std::int64_t{60};
constexpr auto s_submitInterval = Milliseconds(15);
constexpr auto s_tickInterval = Milliseconds(50);
constexpr auto s_reportInterval = Milliseconds(400);
constexpr auto s_ending = Seconds(200);
constexpr auto s_keptEvents = std::size_t{40};

auto holderOf(const scheduling::Action& action) -> std::uint64_t
{
    if (const auto* granted = std::get_if<scheduling::Granted>(&action)) {
        return granted->permit.call.key.holder;
    }
    const auto* refused = std::get_if<scheduling::Refused>(&action);
    return refused != nullptr ? refused->key.holder : std::get<scheduling::Overflowed>(action).key.holder;
}

} // namespace

auto productParts() -> SchedulingParts
{
    return {[] { return std::make_unique<AdmissionRules>(scheduling::DispatcherSettings()); },
            [] { return std::make_unique<scheduling::FairSharePolicy>(scheduling::FairShareWeights()); }};
}

SchedulingWorld::SchedulingWorld(std::uint64_t seed, SchedulingParts parts)
    : m_random(seed)
    , m_parts(std::move(parts))
{
    for (auto number = std::size_t{1}; number <= s_backends; ++number) {
        m_backends.emplace_back(scheduling::EngineSpec{"engine-" + std::to_string(number), 6, 1, false});
        m_backends.back().restart(m_now, m_now + Milliseconds(2'000));
        m_backends.back().coldKnown();
    }
    for (auto number = std::size_t{0}; number < s_executors; ++number) {
        m_executors.push_back({m_nextHolder++, 1, 1, {}});
    }
    startDispatcher();
    submitLoop();
    tickLoop();
    faultLoop();
    windowLoop();
    for (auto backend = std::size_t{0}; backend < s_backends; ++backend) {
        reportLoop(backend);
    }
}

auto SchedulingWorld::after(Milliseconds delay, std::function<void()> run) -> void
{
    m_events.push(m_now + delay, std::move(run));
}

auto SchedulingWorld::note(std::string text) -> void
{
    m_lastEvents.push_back(std::to_string(m_now.time_since_epoch().count()) + "us " + std::move(text));
    if (m_lastEvents.size() > s_keptEvents) {
        m_lastEvents.pop_front();
    }
}

auto SchedulingWorld::keyText(const PermitKey& key) -> std::string
{
    return std::to_string(key.holder) + "/" + std::to_string(key.number);
}

auto SchedulingWorld::linkOf(std::uint64_t holder) -> std::uint64_t
{
    const auto* executor = executorOf(holder);
    return executor == nullptr ? 0 : executor->link;
}

auto SchedulingWorld::toDispatcher(std::uint64_t holder, std::function<void(Dispatcher&)> message) -> void
{
    after(transit(), [this, holder, link = linkOf(holder), term = m_term, message = std::move(message)] {
        if (m_dispatcher && m_term == term && linkOf(holder) == link) {
            message(*m_dispatcher);
        }
    });
}

auto SchedulingWorld::handOut() -> void
{
    if (!m_dispatcher) {
        return;
    }
    for (const auto& action : m_dispatcher->takeActions()) {
        const auto holder = holderOf(action);
        after(transit(), [this, action, holder, link = linkOf(holder)] {
            if (linkOf(holder) == link) {
                take(action);
            }
        });
    }
}

auto SchedulingWorld::take(const scheduling::Action& action) -> void
{
    if (const auto* granted = std::get_if<scheduling::Granted>(&action)) {
        takeGrant(*granted);
    } else if (const auto* refused = std::get_if<scheduling::Refused>(&action)) {
        takeRefusal(*refused);
    }
}

auto SchedulingWorld::executorOf(std::uint64_t holder) -> Executor*
{
    const auto found = std::ranges::find(m_executors, holder, &Executor::holder);
    return found == m_executors.end() ? nullptr : &*found;
}

auto SchedulingWorld::find(const PermitKey& key) -> Request*
{
    auto* executor = executorOf(key.holder);
    if (executor == nullptr) {
        return nullptr;
    }
    const auto found = executor->requests.find(key.number);
    return found == executor->requests.end() ? nullptr : &found->second;
}

auto SchedulingWorld::backendIndex(const std::string& name) const -> std::size_t
{
    return std::stoul(name.substr(name.find('-') + 1)) - 1;
}

auto SchedulingWorld::takeGrant(const scheduling::Granted& granted) -> void
{
    const auto key = granted.permit.call.key;
    auto* request = find(key);
    if (request == nullptr) {
        // NOTE Cancelled while the grant was under way, or its executor is gone: the executor gives it back.
        if (executorOf(key.holder) != nullptr) {
            toDispatcher(key.holder, [this, key](Dispatcher& dispatcher) {
                dispatcher.release(key, {PermitEnd::Cancelled, 0, 0, 0}, m_now);
            });
        }
        return;
    }
    m_verdict.outcomes += request->state == State::Waiting ? 0 : 1;
    request->state = State::Granted;
    request->permit = granted.permit;
    ++m_verdict.granted;
    ++m_shares[request->call.account].granted;
    note("granted " + keyText(key) + " " + granted.permit.engine);
    after(transit(), [this, permit = granted.permit] { runAtBackend(permit); });
}

auto SchedulingWorld::takeRefusal(const scheduling::Refused& refused) -> void
{
    if (auto* request = find(refused.key)) {
        m_verdict.outcomes += request->state == State::Waiting ? 0 : 1;
        executorOf(refused.key.holder)->requests.erase(refused.key.number);
    }
}

auto SchedulingWorld::runAtBackend(const OpenPermit& permit) -> void
{
    const auto key = permit.call.key;
    if (executorOf(key.holder) == nullptr) {
        return;
    }
    const auto index = backendIndex(permit.engine);
    auto& backend = m_backends[index];
    backend.admit(key, m_now);
    // NOTE A hanging request ends with its caller's patience.
    const auto patience = std::chrono::duration_cast<Milliseconds>(permit.call.deadline - m_now);
    const auto duration = chance(0.04) ? std::max(patience, Milliseconds(1)) : Milliseconds(between(30, 900));
    after(duration, [this, key, index, life = backend.life()] { endAtBackend(key, index, life); });
}

auto SchedulingWorld::endAtBackend(const PermitKey& key, std::size_t backend, std::uint64_t life) -> void
{
    if (m_backends[backend].life() == life && m_backends[backend].finish(key)) {
        end(key, PermitEnd::Finished);
    }
}

auto SchedulingWorld::end(const PermitKey& key, PermitEnd how) -> void
{
    auto* executor = executorOf(key.holder);
    if (executor == nullptr) {
        return;
    }
    executor->requests.erase(key.number);
    const auto use = scheduling::PermitUse{how, 500, 200, 100};
    toDispatcher(key.holder, [this, key, use](Dispatcher& dispatcher) { dispatcher.release(key, use, m_now); });
}

auto SchedulingWorld::submitLoop() -> void
{
    if (m_quiet) {
        return;
    }
    const auto burst = chance(0.02) ? between(10, 80) : 1;
    for (auto number = std::int64_t{0}; number < burst; ++number) {
        submitOne(m_executors[static_cast<std::size_t>(between(0, s_executors - 1))]);
    }
    if (chance(0.05)) {
        cancelSome();
    }
    after(s_submitInterval, [this] { submitLoop(); });
}

auto SchedulingWorld::submitOne(Executor& executor) -> void
{
    auto call = scheduling::ScheduledCall();
    call.key = {executor.holder, executor.nextNumber++};
    // NOTE The first account asks for as much as all others together.
    call.account = "account-" + std::to_string(chance(0.5) ? 0 : between(1, s_accounts - 1));
    call.program = call.account + "/" + std::to_string(between(1, s_programs));
    call.promptTokens = static_cast<std::uint64_t>(between(100, 4'000));
    call.deadline = m_now + Milliseconds(between(1'000, 12'000));
    ++m_shares[call.account].asked;
    executor.requests[call.key.number] = {call, State::Waiting, {}};
    submit(call);
}

auto SchedulingWorld::submit(const scheduling::ScheduledCall& call) -> void
{
    toDispatcher(call.key.holder, [this, call](Dispatcher& dispatcher) { dispatcher.submit(call, m_now); });
}

auto SchedulingWorld::cancelSome() -> void
{
    for (auto& executor : m_executors) {
        const auto found = std::ranges::find_if(executor.requests, [](const auto& entry) { return entry.second.state == State::Waiting; });
        if (found == executor.requests.end()) {
            continue;
        }
        const auto key = found->second.call.key;
        executor.requests.erase(found);
        toDispatcher(key.holder, [this, key](Dispatcher& dispatcher) { dispatcher.cancel(key, m_now); });
    }
}

auto SchedulingWorld::tickLoop() -> void
{
    if (m_dispatcher) {
        m_dispatcher->tick(m_now);
        m_verdict.inside += m_dispatcher->checkConsistency() ? 0 : 1;
    }
    checkOverdue();
    after(s_tickInterval, [this] { tickLoop(); });
}

auto SchedulingWorld::reportLoop(std::size_t backend) -> void
{
    const auto report = m_backends[backend].report(m_now);
    const auto life = m_backends[backend].life();
    const auto arrives = Milliseconds(between(1, 900));
    after(arrives, [this, backend, report, life, lost = chance(0.02)] {
        const auto name = m_backends[backend].spec().name;
        if (m_dispatcher && lost) {
            m_dispatcher->reportFailed(name, m_now);
        } else if (m_dispatcher) {
            m_dispatcher->handleReport(name, report, m_now);
        }
        if (life == m_backends[backend].life()) {
            after(Milliseconds(10), [this, backend, life] {
                if (life == m_backends[backend].life()) {
                    m_backends[backend].coldKnown();
                }
            });
        }
        after(s_reportInterval, [this, backend] { reportLoop(backend); });
    });
}

auto SchedulingWorld::specs() const -> std::vector<scheduling::EngineSpec>
{
    auto specs = std::vector<scheduling::EngineSpec>();
    for (const auto& backend : m_backends) {
        specs.push_back(backend.spec());
    }
    return specs;
}

auto SchedulingWorld::runEvent() -> void
{
    const auto event = m_events.pop();
    m_now = event.at;
    ++m_step;
    event.run();
    handOut();
}

auto SchedulingWorld::run(std::uint64_t steps) -> SchedulingVerdict
{
    while (m_step < steps && !shouldStop()) {
        runEvent();
    }
    m_quiet = true;
    const auto until = m_now + s_ending;
    while (m_now < until && !shouldStop()) {
        runEvent();
    }
    if (verdict().holds()) {
        checkEnd();
    }
    return verdict();
}

} // namespace laburnummill::testing
