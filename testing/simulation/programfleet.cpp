#include "testing/simulation/programfleet.h"

#include "peers/heartbeatschedule.h"

#include <algorithm>

namespace laburnummill::testing {

namespace {

using backends::Backend;
using framework::Instant;
using framework::Milliseconds;

using FractionalMs = std::chrono::duration<double, std::milli>;

/// Between two turns a program calls tools.
constexpr auto s_thinkLeastMs = 40.0;
constexpr auto s_thinkMostMs = 200.0;

/// The first part of all prompts of a kind.
constexpr auto s_commonTokens = 512;

constexpr auto s_subAgents = 5;
constexpr auto s_subAgentTurns = 2;

/// Presumed way of a request to an engine and back.
constexpr auto s_wayMs = 20.0;

constexpr auto s_paceChange = Milliseconds(200);
constexpr auto s_slowPace = 3.0;
constexpr auto s_slowShare = 0.2;
constexpr auto s_accounts = 10;

template<class T>
auto quantileOf(std::vector<T>& values, double quantile) -> T
{
    std::ranges::sort(values);
    return values[static_cast<std::size_t>(static_cast<double>(values.size() - 1) * quantile)];
}

} // namespace

ProgramFleet::ProgramFleet(const ProgramFleetPlan& plan, IGate* gate)
    : m_plan(plan)
    , m_gate(gate)
    , m_random(plan.seed)
    , m_interval(peers::heartbeatInterval(static_cast<int>(plan.hosts)))
    , m_watched(plan.engines)
    , m_totalReported(plan.engines)
    , m_stated(plan.engines)
    , m_turnsOf(plan.engines)
    , m_counts(plan.kinds.size())
{
    for (auto engine = std::size_t{0}; engine < plan.engines; ++engine) {
        m_engines.emplace_back(plan.speed);
        if (plan.changesPace) {
            at(m_now, [this, engine] { changePace(engine); });
        }
    }
    for (auto number = std::size_t{0}; number < plan.hosts; ++number) {
        auto host = Host{
            .choice = std::make_unique<scheduling::BackendChoice>(number + 1), .servers = {}, .reported = std::vector<int>(plan.engines)};
        for (auto engine = std::size_t{0}; engine < plan.engines; ++engine) {
            auto& server = host.servers.emplace_back(std::make_shared<Backend>());
            server->number = engine + 1;
            server->entry.id = "engine-" + std::to_string(engine);
            server->entry.dataCentre = "a";
            server->entry.slots = plan.speed.slots;
            server->idleConnections = 1;
        }
        m_hosts.push_back(std::move(host));
        at(m_now + m_interval * static_cast<int>(number) / static_cast<int>(plan.hosts), [this, number] { heartbeat(number); });
    }
    for (auto kind = std::size_t{0}; kind < plan.kinds.size(); ++kind) {
        at(m_now, [this, kind] { arrive(kind); });
    }
}

auto ProgramFleet::run(Milliseconds duration) -> void
{
    const auto end = m_now + duration;
    while (!m_events.isEmpty() && m_events.nextAt() <= end) {
        const auto event = m_events.pop();
        m_now = event.at;
        event.run();
    }
    m_now = end;
}

auto ProgramFleet::arrive(std::size_t kind) -> void
{
    const auto rate = m_plan.kinds[kind].perSecond * m_load;
    const auto gap = std::exponential_distribution(rate)(m_random) * 1'000;
    at(m_now + std::chrono::ceil<Instant::duration>(FractionalMs(gap)), [this, kind] {
        auto program = std::make_shared<Program>();
        program->id = "program-" + std::to_string(m_nextNumber++);
        program->kind = kind;
        program->account = draw(0, 1) < m_largeShare ? "large" : "account-" + std::to_string(m_random() % s_accounts);
        program->host = m_random() % m_plan.hosts;
        program->askedAt = m_now;
        count(*program, &ProgramCounts::asked);
        ask(program);
        arrive(kind);
    });
}

auto ProgramFleet::ask(const ProgramPtr& program) -> void
{
    const auto host = hostOf(*program);
    const auto wait = m_gate == nullptr ? std::nullopt : m_gate->admit(host, *program, m_now);
    if (!wait) {
        const auto& kind = m_plan.kinds[program->kind];
        const auto turns = std::max(1, static_cast<int>(kind.turns * draw(0.5, 1.5)));
        startTurn(addChain(program, program->id, {{.part = "common-" + std::to_string(program->kind), .tokens = s_commonTokens}}, turns));
    } else if (program->retriesLeft-- > 0) {
        at(m_now + *wait, [this, program] { ask(program); });
    } else {
        count(*program, &ProgramCounts::refused);
    }
}

auto ProgramFleet::addChain(const ProgramPtr& program, const std::string& id, std::vector<EnginePromptPart> prompt, int turns) -> ChainPtr
{
    ++program->openChains;
    return std::make_shared<Chain>(Chain{.program = program, .id = id, .prompt = std::move(prompt), .turnsLeft = turns});
}

auto ProgramFleet::hostOf(const Program& program) -> std::size_t
{
    return draw(0, 1) < m_plan.stayShare ? program.host : m_random() % m_plan.hosts;
}

auto ProgramFleet::startTurn(const ChainPtr& chain) -> void
{
    const auto& kind = m_plan.kinds[chain->program->kind];
    const auto number = m_nextNumber++;
    const auto input = std::max(1, static_cast<int>(kind.inputTokens * draw(0.3, 1.7)));
    const auto output = std::max(1, static_cast<int>(kind.outputTokens * draw(0.5, 1.5)));
    chain->prompt.push_back({.part = "input-" + std::to_string(number), .tokens = input});
    const auto hostNumber = hostOf(*chain->program);
    auto& host = m_hosts[hostNumber];
    auto requirements = scheduling::BackendRequirements();
    for (const auto& part : chain->prompt) {
        requirements.prompt.push_back({.part = part.part, .tokens = part.tokens});
    }
    requirements.chain = chain->id;
    const auto server = chooseServer(host, requirements);
    ++server->running;
    const auto engine = static_cast<std::size_t>(server->number - 1);
    advance(engine);
    m_atChoice.push_back(m_engines[engine].running() + m_engines[engine].waiting());
    const auto idleMs = input / m_plan.speed.prefillTokensPerMs + output * m_plan.speed.msPerToken;
    m_turns[number] = {.chain = chain, .host = hostNumber, .engine = engine, .startedAt = m_now, .idleMs = idleMs, .outputTokens = output};
    ++m_turnsOf[engine];
    m_newTokens += input;
    m_readTokens += m_engines[engine].add({.number = number, .prompt = chain->prompt, .tokens = static_cast<double>(output)}, m_now);
    server->load.recordAnswer(stateOf(engine), m_now);
    watch(engine);
}

auto ProgramFleet::chooseServer(Host& host, const scheduling::BackendRequirements& requirements) -> backends::BackendPtr
{
    const auto settings = scheduling::ChoiceSettings{.ownDataCentre = "a",
                                                     .coldRequestsPerSecond = 0,
                                                     .hosts = static_cast<int>(m_plan.hosts),
                                                     .reportInterval = m_interval,
                                                     .rule = m_plan.rule,
                                                     .serviceMs = 200};
    auto servers = host.servers;
    const auto isProbing = m_plan.probes && m_plan.rule == scheduling::PlacementRule::ExpectedFinish;
    auto probed = std::vector<backends::BackendPtr>();
    while (isProbing) {
        const auto next = host.choice->serversToProbe(servers, probed, requirements, settings, m_now);
        if (next.empty()) {
            break;
        }
        for (const auto& server : next) {
            const auto engine = static_cast<std::size_t>(server->number - 1);
            advance(engine);
            server->load.recordAnswer(stateOf(engine), m_now);
        }
        probed.insert(probed.end(), next.begin(), next.end());
    }
    m_probes += static_cast<int>(probed.size());
    auto chosen = host.choice->choose(probed.empty() ? servers : probed, requirements, settings, m_now);
    host.choice->started(chosen, requirements, settings, m_now);
    return chosen;
}

auto ProgramFleet::advance(std::size_t engine) -> void
{
    for (const auto ended : m_engines[engine].advance(m_now)) {
        endTurn(ended);
    }
}

auto ProgramFleet::stateOf(std::size_t engine) const -> backends::LoadStatement
{
    const auto& state = m_engines[engine];
    return {
        .running = state.running(), .waiting = state.waiting(), .pace = m_plan.changesPace ? std::optional(state.pace()) : std::nullopt};
}

auto ProgramFleet::watch(std::size_t engine) -> void
{
    const auto next = m_engines[engine].nextChange();
    if (next == Instant::max() || next == m_watched[engine]) {
        return;
    }
    m_watched[engine] = next;
    at(next, [this, engine, next] {
        if (m_watched[engine] != next) {
            return;
        }
        m_watched[engine] = {};
        advance(engine);
        watch(engine);
    });
}

auto ProgramFleet::endTurn(std::uint64_t number) -> void
{
    const auto turn = m_turns.at(number);
    m_turns.erase(number);
    --m_hosts[turn.host].servers[turn.engine]->running;
    const auto& chain = turn.chain;
    const auto& program = *chain->program;
    const auto tookMs = FractionalMs(m_now - turn.startedAt).count();
    m_stretches.push_back(tookMs / turn.idleMs);
    if (m_gate != nullptr) {
        m_gate->turnEnded(turn.host, program, tookMs, turn.idleMs, m_now);
    }
    const auto isMain = chain->id == program.id;
    const auto think = draw(s_thinkLeastMs, s_thinkMostMs);
    chain->program->idleMs += isMain ? turn.idleMs + think + s_wayMs : 0;
    chain->prompt.push_back({.part = "output-" + std::to_string(number), .tokens = turn.outputTokens});
    if (isMain && draw(0, 1) < m_plan.kinds[program.kind].subAgentShare) {
        chain->program->idleMs += s_subAgentTurns * (turn.idleMs + s_wayMs);
        for (auto agent = 0; agent < s_subAgents; ++agent) {
            const auto id = chain->id + "/" + std::to_string(number) + "-" + std::to_string(agent);
            startTurn(addChain(chain->program, id, chain->prompt, s_subAgentTurns));
        }
    }
    if (--chain->turnsLeft == 0) {
        endChain(chain);
        return;
    }
    at(m_now + std::chrono::ceil<Instant::duration>(FractionalMs(think + s_wayMs)), [this, chain] { startTurn(chain); });
}

auto ProgramFleet::endChain(const ChainPtr& chain) -> void
{
    auto& program = *chain->program;
    if (--program.openChains > 0) {
        return;
    }
    const auto& kind = m_plan.kinds[program.kind];
    const auto tookMs = FractionalMs(m_now - program.askedAt).count();
    count(program,
          tookMs <= program.idleMs * kind.objectiveFactor + kind.objectiveAllowanceMs ? &ProgramCounts::inTime : &ProgramCounts::late);
}

auto ProgramFleet::heartbeat(std::size_t number) -> void
{
    constexpr auto averageMs = 800.0;
    auto& host = m_hosts[number];
    const auto weight = 1 - std::exp(-FractionalMs(m_interval).count() / averageMs);
    for (auto engine = std::size_t{0}; engine < m_plan.engines; ++engine) {
        auto& server = *host.servers[engine];
        m_totalReported[engine] += server.running - host.reported[engine];
        host.reported[engine] = server.running;
        server.runningRemotely = m_totalReported[engine] - server.running;
        server.averageRunningRemotely += weight * (server.runningRemotely - server.averageRunningRemotely);
        if (m_stated[engine]) {
            server.load.recordPeer(m_stated[engine]->load, m_stated[engine]->statedAt);
        }
        const auto own = server.load.toReport(m_now);
        if (own && (!m_stated[engine] || own->statedAt > m_stated[engine]->statedAt)) {
            m_stated[engine] = own;
        }
    }
    if (m_gate != nullptr) {
        m_gate->exchange(number, host.servers, m_now);
    }
    at(m_now + m_interval, [this, number] { heartbeat(number); });
}

auto ProgramFleet::changePace(std::size_t engine) -> void
{
    advance(engine);
    m_engines[engine].setPace(draw(0, 1) < s_slowShare ? s_slowPace : 1);
    watch(engine);
    at(m_now + s_paceChange, [this, engine] { changePace(engine); });
}

auto ProgramFleet::requestsAtChoice(double quantile) -> int
{
    return quantileOf(m_atChoice, quantile);
}

auto ProgramFleet::turnStretch(double quantile) -> double
{
    return quantileOf(m_stretches, quantile);
}

auto ProgramFleet::resetCounts() -> void
{
    m_atChoice.clear();
    m_stretches.clear();
    m_readTokens = 0;
    m_newTokens = 0;
    m_probes = 0;
    std::ranges::fill(m_turnsOf, 0);
    std::ranges::fill(m_counts, ProgramCounts());
    m_accountCounts.clear();
}

auto ProgramFleet::count(const Program& program, int ProgramCounts::*outcome) -> void
{
    ++(m_counts[program.kind].*outcome);
    ++(m_accountCounts[program.account].*outcome);
}

} // namespace laburnummill::testing
