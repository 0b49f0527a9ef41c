#include "testing/measure/overload/overloadrun.h"

#include "peers/heartbeatschedule.h"

#include <algorithm>
#include <cmath>
#include <numbers>
#include <numeric>

namespace laburnummill::testing {

namespace {

using backends::Backend;
using framework::Instant;
using framework::Milliseconds;
using framework::Seconds;

constexpr auto s_step = Milliseconds(5);

/// Programs: most are short, some long; tools run between the turns.
constexpr auto s_longShare = 0.15;
constexpr auto s_shortTurns = 5;
constexpr auto s_longTurnsLeast = 5;
constexpr auto s_longTurnsMost = 13;
constexpr auto s_shortSubAgentShare = 0.05;
constexpr auto s_longSubAgentShare = 0.25;
constexpr auto s_subAgents = 2;
constexpr auto s_subAgentTurns = 2;
constexpr auto s_workLeastMs = 140.0;
constexpr auto s_workMostMs = 260.0;
constexpr auto s_toolLeastMs = 40;
constexpr auto s_toolMostMs = 160;

constexpr auto s_objectiveAllowanceMs = 200.0;

/// Callers leave a turn that takes longer.
constexpr auto s_turnTimeout = Milliseconds(4'000);
constexpr auto s_retriesMost = 2;

/// Refused callers return after a time in this range, as a host names it.
constexpr auto s_retryLeastMs = 150;
constexpr auto s_retryMostMs = 650;

constexpr auto s_speedPeriodSeconds = 17.0;
constexpr auto s_recoveredShare = 0.95;

auto secondsBetween(Instant from, Instant to) -> double
{
    return std::chrono::duration<double>(to - from).count();
}

auto meanWorkMs() -> double
{
    const auto turnsOf = [](double turns, double subAgentShare) { return turns + subAgentShare * s_subAgents * s_subAgentTurns; };
    const auto shortTurns = turnsOf((1 + s_shortTurns) / 2.0, s_shortSubAgentShare);
    const auto longTurns = turnsOf((s_longTurnsLeast + s_longTurnsMost) / 2.0, s_longSubAgentShare);
    return (shortTurns * (1 - s_longShare) + longTurns * s_longShare) * (s_workLeastMs + s_workMostMs) / 2;
}

auto add(OverloadCounts& counts, const OverloadCounts& other) -> void
{
    counts.asked += other.asked;
    counts.inTime += other.inTime;
    counts.late += other.late;
    counts.refused += other.refused;
    counts.failed += other.failed;
}

} // namespace

auto OverloadFigures::inTimeRate(std::size_t from, std::size_t to) const -> double
{
    auto inTime = 0;
    for (auto second = from; second < to; ++second) {
        inTime += perSecond[second].inTime;
    }
    return inTime / static_cast<double>(to - from);
}

OverloadRun::OverloadRun(const OverloadPlan& plan)
    : m_plan(plan)
    , m_random(plan.seed)
    , m_reportInterval(peers::heartbeatInterval(static_cast<int>(plan.hosts)))
    , m_overloadAt(m_now + plan.warmUp)
    , m_restAt(m_overloadAt + plan.duration)
{
    m_figures.perSecond.resize(static_cast<std::size_t>((plan.duration + plan.rest).count()));
    m_programsPerMs = BatchingServer::fullRate(plan.slots) * static_cast<double>(plan.servers) / meanWorkMs();
    for (auto server = std::size_t{0}; server < plan.servers; ++server) {
        m_servers.emplace_back(plan.slots, 1);
    }
    for (auto number = std::size_t{0}; number < plan.hosts; ++number) {
        auto host = Host{scheduling::Admission(plan.seed * 1'000 + number), scheduling::BackendChoice(number + 1), {}};
        for (auto server = std::size_t{0}; server < plan.servers; ++server) {
            auto& backend = host.servers.emplace_back(std::make_shared<Backend>());
            backend->number = server + 1;
            backend->entry.id = std::to_string(server);
            backend->entry.slots = plan.slots;
            backend->idleConnections = 1;
        }
        m_hosts.push_back(std::move(host));
    }
}

auto OverloadRun::run() -> OverloadFigures
{
    const auto end = m_restAt + m_plan.rest;
    const auto drained = end + s_turnTimeout * 4;
    for (; m_now < drained; m_now += s_step) {
        if (m_now < end) {
            arrive();
        }
        while (!m_events.isEmpty() && m_events.nextAt() <= m_now) {
            m_events.pop().run();
        }
        advanceServers();
        endOverdueTurns();
        exchangeReports();
    }
    for (auto second = std::size_t{0}; second < m_figures.perSecond.size(); ++second) {
        const auto& counts = m_figures.perSecond[second];
        if (static_cast<long>(second) < m_plan.duration.count()) {
            add(m_figures.overload, counts);
        } else if (counts.inTimeShare() < s_recoveredShare) {
            m_figures.recoverySeconds = static_cast<double>(second + 1) - static_cast<double>(m_plan.duration.count());
        }
    }
    return m_figures;
}

auto OverloadRun::arrive() -> void
{
    const auto load = isOverload(m_now) ? m_plan.load / m_plan.slowness : m_plan.calmLoad;
    auto count = std::poisson_distribution<int>(load * m_programsPerMs * static_cast<double>(s_step.count()))(m_random);
    for (; count > 0; --count) {
        startProgram();
    }
}

auto OverloadRun::drawTurns(int count) -> std::vector<double>
{
    auto turns = std::vector<double>();
    std::generate_n(std::back_inserter(turns), count,
                    [this] { return std::uniform_real_distribution(s_workLeastMs, s_workMostMs)(m_random); });
    return turns;
}

auto OverloadRun::startProgram() -> void
{
    auto program = std::make_shared<Program>();
    const auto drawn = [this](double share) { return std::uniform_real_distribution()(m_random) < share; };
    program->name = std::to_string(m_nextNumber++);
    program->isLong = drawn(s_longShare);
    program->subAgents = drawn(program->isLong ? s_longSubAgentShare : s_shortSubAgentShare) ? s_subAgents : 0;
    program->retriesLeft = std::uniform_int_distribution(1, s_retriesMost)(m_random);
    program->askedAt = m_now;
    auto thread = std::make_shared<Thread>();
    thread->program = program;
    thread->turnsMs = drawTurns(program->isLong ? std::uniform_int_distribution(s_longTurnsLeast, s_longTurnsMost)(m_random)
                                                : std::uniform_int_distribution(1, s_shortTurns)(m_random));
    const auto tools = static_cast<double>(thread->turnsMs.size() - 1) * (s_toolLeastMs + s_toolMostMs) / 2;
    program->idleMs = std::accumulate(thread->turnsMs.begin(), thread->turnsMs.end(), tools);
    count(*program, &OverloadCounts::asked);
    tryProgram(program, thread);
}

auto OverloadRun::tryProgram(const ProgramPtr& program, const ThreadPtr& thread) -> void
{
    const auto number = randomHost();
    auto& host = m_hosts[number];
    if (host.admission.mayBegin(host.servers, program->isLong ? 0 : 1, m_now)) {
        program->isAdmitted = true;
        program->openThreads = 1;
        startTurn(thread, number);
        return;
    }
    if (program->retriesLeft-- == 0) {
        program->hasEnded = true;
        count(*program, &OverloadCounts::refused);
        return;
    }
    const auto wait = Milliseconds(std::uniform_int_distribution(s_retryLeastMs, s_retryMostMs)(m_random));
    m_events.push(m_now + wait, [this, program, thread] { tryProgram(program, thread); });
}

auto OverloadRun::startTurn(const ThreadPtr& thread, std::size_t host) -> void
{
    if (thread->program->hasEnded) {
        return;
    }
    auto& chooser = m_hosts[host];
    const auto settings = scheduling::ChoiceSettings{
        .ownDataCentre = {}, .coldRequestsPerSecond = 0, .hosts = static_cast<int>(m_hosts.size()), .reportInterval = m_reportInterval};
    const auto backend = chooser.choice.choose(chooser.servers, {}, settings, m_now);
    chooser.choice.started(backend, {}, settings, m_now);
    ++backend->running;
    const auto number = m_nextNumber++;
    const auto server = static_cast<std::size_t>(backend->number - 1);
    m_servers[server].add(number, thread->turnsMs.back());
    m_turns[number] = {.thread = thread, .host = host, .server = server, .startedAt = m_now};
}

auto OverloadRun::advanceServers() -> void
{
    const auto seconds = std::chrono::duration<double>(m_now.time_since_epoch()).count();
    for (auto number = std::size_t{0}; number < m_servers.size(); ++number) {
        const auto phase = static_cast<double>(number) / static_cast<double>(m_servers.size()) + seconds / s_speedPeriodSeconds;
        const auto slowness = 1 + m_plan.speedSwing * std::sin(2 * std::numbers::pi * phase);
        m_servers[number].setSlowness(isOverload(m_now) ? slowness * m_plan.slowness : slowness);
        for (const auto turn : m_servers[number].advance(s_step)) {
            endTurn(turn);
        }
    }
}

auto OverloadRun::release(const RunningTurn& turn) -> void
{
    --m_hosts[turn.host].servers[turn.server]->running;
}

auto OverloadRun::endTurn(std::uint64_t number) -> void
{
    const auto turn = m_turns.at(number);
    m_turns.erase(number);
    release(turn);
    const auto& program = turn.thread->program;
    if (program->hasEnded) {
        return;
    }
    for (; program->subAgents > 0; --program->subAgents) {
        auto agent = std::make_shared<Thread>();
        agent->program = program;
        agent->turnsMs = drawTurns(s_subAgentTurns);
        ++program->openThreads;
        startTurn(agent, randomHost());
    }
    turn.thread->turnsMs.pop_back();
    if (turn.thread->turnsMs.empty()) {
        endThread(program);
        return;
    }
    const auto tool = Milliseconds(std::uniform_int_distribution(s_toolLeastMs, s_toolMostMs)(m_random));
    m_events.push(m_now + tool, [this, thread = turn.thread] { startTurn(thread, randomHost()); });
}

auto OverloadRun::endThread(const ProgramPtr& program) -> void
{
    if (--program->openThreads > 0) {
        return;
    }
    program->hasEnded = true;
    const auto tookMs = secondsBetween(program->askedAt, m_now) * 1'000;
    const auto isInTime = tookMs <= program->idleMs * m_plan.objectiveFactor + s_objectiveAllowanceMs;
    count(*program, isInTime ? &OverloadCounts::inTime : &OverloadCounts::late);
}

auto OverloadRun::endOverdueTurns() -> void
{
    std::erase_if(m_turns, [this](const auto& entry) {
        const auto& [number, turn] = entry;
        if (m_now < turn.startedAt + s_turnTimeout) {
            return false;
        }
        m_servers[turn.server].remove(number);
        release(turn);
        if (!turn.thread->program->hasEnded) {
            turn.thread->program->hasEnded = true;
            count(*turn.thread->program, &OverloadCounts::failed);
        }
        return true;
    });
}

auto OverloadRun::exchangeReports() -> void
{
    if (m_now < m_reportAt) {
        return;
    }
    m_reportAt = m_now + m_reportInterval;
    for (auto server = std::size_t{0}; server < m_servers.size(); ++server) {
        auto running = 0;
        for (const auto& host : m_hosts) {
            running += host.servers[server]->running;
        }
        for (auto& host : m_hosts) {
            host.servers[server]->runningRemotely = running - host.servers[server]->running;
        }
    }
}

auto OverloadRun::count(const Program& program, int OverloadCounts::*outcome) -> void
{
    if (program.askedAt < m_overloadAt) {
        ++(m_figures.calm.*outcome);
        return;
    }
    ++(m_figures.perSecond[static_cast<std::size_t>(secondsBetween(m_overloadAt, program.askedAt))].*outcome);
}

} // namespace laburnummill::testing
