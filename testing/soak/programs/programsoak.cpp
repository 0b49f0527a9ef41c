#include "testing/soak/programs/programsoak.h"

#include "calls/callerrors.h"

namespace laburnummill::testing {

using calls::CallAnswer;
using calls::CallOutcome;
using calls::Ran;
using framework::Milliseconds;
using framework::Result;
using platform::PlatformError;
using programs::Actions;
using programs::Moment;
using programs::ProgramOwner;

namespace {

constexpr auto s_eventsKept = std::size_t{60};
constexpr auto s_resendMs = std::int64_t{9'000};
constexpr auto s_roots = std::size_t{8};
constexpr auto s_maxChildren = std::uint32_t{2};

template<class... Handlers>
struct Overloaded : Handlers...
{
    using Handlers::operator()...;
};

template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

ProgramSoak::ProgramSoak(Options options)
    : m_options(options)
    , m_random(options.seed)
    , m_hosts(options.hosts)
    , m_callers([this](const std::string& violation) {
        if (m_outcome.violations.empty()) {
            note("violation: " + violation);
            m_outcome.violatedAtStep = m_step;
        }
        m_outcome.violations.push_back(violation);
    })
{}

auto ProgramSoak::moment() const -> Moment
{
    return {framework::Instant(Milliseconds(m_nowMs)), static_cast<std::uint64_t>(m_nowMs)};
}

auto ProgramSoak::pick(std::int64_t from, std::int64_t to) -> std::int64_t
{
    return from + static_cast<std::int64_t>(m_random() % static_cast<std::uint64_t>(to - from + 1));
}

auto ProgramSoak::chance(double share) -> bool
{
    return static_cast<double>(m_random() % 1'000'000) < share * 1'000'000;
}

auto ProgramSoak::later(std::int64_t delayMs, std::function<void()> act) -> void
{
    m_queue.push(m_nowMs + delayMs, std::move(act));
}

auto ProgramSoak::runEvent() -> void
{
    const auto event = m_queue.pop();
    m_nowMs = std::max(m_nowMs, event.at);
    event.run();
}

auto ProgramSoak::note(std::string event) -> void
{
    const auto isAside =
        !m_options.watch.empty() && event.find("dc.") != std::string::npos && event.find(m_options.watch) == std::string::npos;
    if (!m_outcome.violations.empty() || isAside) {
        return;
    }
    if (m_outcome.lastEvents.size() > s_eventsKept) {
        m_outcome.lastEvents.pop_front();
    }
    m_outcome.lastEvents.push_back(std::to_string(m_nowMs) + " " + std::move(event));
}

auto ProgramSoak::run() -> Outcome
{
    for (auto host = std::size_t{0}; host < m_hosts.size(); ++host) {
        boot(host);
    }
    for (auto root = std::size_t{0}; root < s_roots; ++root) {
        later(pick(0, 2'000), [this] { startRoot(); });
    }
    disturb();
    reconcileEngine();
    while (m_step < m_options.steps && m_outcome.violations.empty()) {
        ++m_step;
        runEvent();
    }
    if (m_outcome.violations.empty()) {
        finish();
        checkEnd();
    }
    for (const auto& host : m_hosts) {
        m_outcome.claims += host.owner ? host.owner->counts().claims : 0;
        m_outcome.lost += host.owner ? host.owner->counts().lost : 0;
    }
    m_outcome.answered = m_callers.answered();
    m_outcome.heldAnswers = m_callers.heldAnswers();
    m_outcome.refused = m_callers.refused();
    return m_outcome;
}

auto ProgramSoak::deliver(std::size_t host, std::uint64_t incarnation, std::int64_t delayMs, std::function<Actions(ProgramOwner&)> event)
    -> void
{
    later(delayMs, [this, host, incarnation, event = std::move(event)]() mutable {
        auto& target = m_hosts[host];
        if (!target.alive || target.incarnation != incarnation) {
            return;
        }
        if (target.pausedUntilMs > m_nowMs) {
            deliver(host, incarnation, target.pausedUntilMs - m_nowMs, std::move(event));
            return;
        }
        const auto actions = event(*target.owner);
        for (const auto& [invariant, name] : programs::s_invariantNames) {
            if (target.owner->invariants().violations(invariant) > 0 && m_outcome.violations.empty()) {
                m_outcome.violations.push_back("invariant " + std::string(name));
                m_outcome.violatedAtStep = m_step;
            }
        }
        for (const auto& action : actions) {
            trace(host, action);
            perform(host, action);
        }
    });
}

auto ProgramSoak::trace(std::size_t host, const programs::Action& action) -> void
{
    const auto at = "host " + std::to_string(host) + " ";
    if (const auto* run = std::get_if<programs::RunCall>(&action)) {
        note(at + "runs " + run->call.program + " turn " + std::to_string(run->call.turn));
    } else if (const auto* hold = std::get_if<programs::HoldRecord>(&action)) {
        note(at + "asks to hold " + hold->program + " turn " + std::to_string(hold->turn));
    } else if (const auto* batch = std::get_if<programs::WriteBatch>(&action)) {
        auto text = at + "writes " + batch->object + ":";
        for (const auto& change : batch->rows) {
            const auto row = programs::rowFromText(*change.value);
            text += " " + change.key.key + " up to " + std::to_string(row.turns);
        }
        note(std::move(text));
    } else if (const auto* loaded = std::get_if<programs::LoadProgram>(&action)) {
        note(at + "loads " + loaded->program);
    } else if (const auto* drop = std::get_if<programs::DropHeld>(&action)) {
        note(at + "drops " + drop->program + " turn " + std::to_string(drop->turn));
    } else if (const auto* answer = std::get_if<programs::Answer>(&action); answer != nullptr && m_tickets.contains(answer->ticket)) {
        const auto& [program, turn] = m_tickets.at(answer->ticket);
        const auto* failure = std::get_if<calls::CallFailure>(&answer->outcome);
        note(at + "answers " + program + " turn " + std::to_string(turn) + " " + (failure == nullptr ? "well" : failure->code));
    }
}

auto ProgramSoak::perform(std::size_t host, const programs::Action& action) -> void
{
    const auto incarnation = m_hosts[host].incarnation;
    const auto take = [this](programs::Ticket ticket, const CallOutcome& outcome) {
        if (const auto found = m_tickets.extract(ticket); !found.empty()) {
            const auto [program, turn] = found.mapped();
            m_callers.take(program, turn, outcome, m_ran.contains(ticket));
            schedulePump(program, pick(0, 300));
        }
    };
    std::visit(Overloaded{
                   [&](const programs::LoadProgram& each) { load(host, each); },
                   [&](const programs::WriteRow& each) { writeRow(host, each); },
                   [&](const programs::RunCall& each) { runCall(host, each); },
                   [&](const programs::WriteBatch& each) { writeBatch(host, each); },
                   [&](const programs::HoldRecord& each) { holdRecord(host, each); },
                   [&](const programs::ReadRows& each) {
                       deliver(host, incarnation, pick(1, 20), [this, each](ProgramOwner& owner) {
                           if (m_store.down) {
                               return owner.rowsRead(PlatformError::Unavailable, moment());
                           }
                           auto rows = std::vector<std::optional<platform::Row>>();
                           for (const auto& program : each.programs) {
                               rows.push_back(m_store.row(program));
                           }
                           return owner.rowsRead(std::move(rows), moment());
                       });
                   },
                   [&](const programs::DropHeld& each) {
                       for (auto& peer : m_hosts) {
                           if (peer.alive && !chance(0.2)) {
                               peer.held.drop(each.program, each.turn);
                           }
                       }
                   },
                   [&](const programs::Answer& each) { take(each.ticket, each.outcome); },
                   [&](const programs::AnswerStatus& each) {
                       const auto program = m_statusTickets.extract(each.ticket);
                       auto* caller = program.empty() ? nullptr : m_callers.of(program.mapped());
                       const auto* status = std::get_if<programs::ProgramStatus>(&each.outcome);
                       if (caller != nullptr && status != nullptr && status->ended) {
                           caller->ended = true;
                       } else if (!program.empty() && caller == nullptr && status != nullptr) {
                           m_callers.add(program.mapped());
                           schedulePump(program.mapped(), 1);
                       }
                   },
                   [&](const programs::ReleaseMemory& each) {
                       if (!chance(0.4)) {
                           m_engine.erase(each.program);
                       }
                   },
               },
               action);
}

auto ProgramSoak::load(std::size_t host, const programs::LoadProgram& action) -> void
{
    const auto incarnation = m_hosts[host].incarnation;
    later(pick(1, 20), [this, host, incarnation, action] {
        auto loaded = m_store.load(action.program);
        deliver(host, incarnation, pick(1, 20), [this, host, action, loaded](ProgramOwner& owner) mutable {
            const auto root = programs::rootOf(action.program);
            for (auto peer = std::size_t{0}; loaded && peer < m_hosts.size(); ++peer) {
                if (m_hosts[peer].alive && (action.askPeers || peer == host)) {
                    const auto lines = m_hosts[peer].held.collect(root, action.fencing);
                    loaded.value().held.insert(loaded.value().held.end(), lines.begin(), lines.end());
                }
            }
            return owner.loaded(action.program, std::move(loaded), moment());
        });
    });
}

auto ProgramSoak::writeRow(std::size_t host, const programs::WriteRow& action) -> void
{
    const auto incarnation = m_hosts[host].incarnation;
    later(pick(1, 30), [this, host, incarnation, action] {
        auto result = Result<std::uint64_t>(PlatformError::Unavailable);
        if (!m_store.down) {
            const auto versions = m_store.transact({action.change});
            result = versions ? Result<std::uint64_t>(versions.value().front()) : Result<std::uint64_t>(versions.error());
            if (chance(m_calm ? 0 : 0.05)) {
                result = PlatformError::OutcomeUnknown;
            }
        }
        deliver(host, incarnation, pick(1, 20),
                [this, action, result](ProgramOwner& owner) { return owner.rowWritten(action.program, result, moment()); });
    });
}

auto ProgramSoak::writeBatch(std::size_t host, const programs::WriteBatch& action) -> void
{
    const auto incarnation = m_hosts[host].incarnation;
    const auto isLate = !m_calm && chance(0.05);
    // NOTE An answer may also say "unknown" before the write takes effect.
    const auto isUnknownFirst = isLate && chance(0.3);
    later(isLate ? pick(500, 4'000) : pick(1, 30), [this, host, incarnation, action, isUnknownFirst] {
        auto result = Result<std::vector<std::uint64_t>>(PlatformError::Unavailable);
        if (!m_store.down) {
            m_store.put(action.object, action.body);
            result = m_store.transact(action.rows);
            if (chance(m_calm ? 0 : 0.08)) {
                result = PlatformError::OutcomeUnknown;
            }
        }
        if (!isUnknownFirst) {
            deliver(host, incarnation, pick(1, 20), [this, result](ProgramOwner& owner) { return owner.batchWritten(result, moment()); });
        }
    });
    if (isUnknownFirst) {
        deliver(host, incarnation, 400,
                [this](ProgramOwner& owner) { return owner.batchWritten(PlatformError::OutcomeUnknown, moment()); });
    }
}

auto ProgramSoak::runCall(std::size_t host, const programs::RunCall& action) -> void
{
    const auto incarnation = m_hosts[host].incarnation;
    later(pick(1, 20), [this, host, incarnation, action] {
        auto outcome = CallOutcome(calls::callFailure(calls::CallError::Cancelled, Ran::No, Milliseconds(100)));
        if (!chance(m_calm ? 0 : 0.05)) {
            m_ran.insert(action.ticket);
            m_callers.checkRun(action.call);
            m_engine.insert(action.call.program);
            auto answer = CallAnswer();
            answer.body = "answer " + action.call.program + " " + std::to_string(action.call.turn) + " run " + std::to_string(++m_runs);
            answer.usage = {action.call.body.size() / 4, 0, static_cast<std::uint64_t>(pick(1, 16))};
            outcome = chance(m_calm ? 0 : 0.05) ? CallOutcome(calls::callFailure(calls::CallError::OutcomeUnknown, Ran::Unknown))
                                                : CallOutcome(std::move(answer));
        }
        deliver(host, incarnation, chance(0.1) ? pick(500, 3'000) : pick(5, 200),
                [this, action, outcome](ProgramOwner& owner) { return owner.callFinished(action.ticket, outcome, moment()); });
    });
}

auto ProgramSoak::holdRecord(std::size_t host, const programs::HoldRecord& action) -> void
{
    const auto incarnation = m_hosts[host].incarnation;
    auto copies = std::size_t{0};
    (void)m_hosts[host].held.hold(action.program, action.turn, action.line, action.fencing);
    for (auto step = std::size_t{1}; step < m_hosts.size() && copies < 2; ++step) {
        auto& peer = m_hosts[(host + step) % m_hosts.size()];
        if (peer.alive && !chance(0.1)) {
            copies += peer.held.hold(action.program, action.turn, action.line, action.fencing) ? 1 : 0;
        }
    }
    deliver(host, incarnation, pick(2, 30),
            [this, action, copies](ProgramOwner& owner) { return owner.recordHeld(action.program, action.turn, copies, moment()); });
}

auto ProgramSoak::startRoot() -> void
{
    const auto program = "dc." + std::to_string(m_options.seed) + "x" + std::to_string(++m_roots);
    const auto host = ownerOf(program);
    if (!host) {
        later(500, [this] { startRoot(); });
        return;
    }
    const auto ticket = m_nextTicket++;
    m_statusTickets[ticket] = program;
    deliver(*host, m_hosts[*host].incarnation, 1,
            [this, ticket, program](ProgramOwner& owner) { return owner.start(ticket, program, "account", moment()); });
    later(20'000, [this, program] {
        if (m_callers.of(program) == nullptr && !m_calm) {
            startRoot();
        }
    });
}

auto ProgramSoak::startChild(const std::string& root) -> void
{
    const auto host = ownerOf(root);
    const auto program = root + "." + std::to_string(++m_roots);
    if (!host) {
        return;
    }
    const auto ticket = m_nextTicket++;
    m_statusTickets[ticket] = program;
    deliver(*host, m_hosts[*host].incarnation, 1,
            [this, ticket, program](ProgramOwner& owner) { return owner.start(ticket, program, "account", moment()); });
}

auto ProgramSoak::send(const std::string& program, std::uint32_t turn) -> void
{
    const auto host = ownerOf(program);
    if (!host) {
        return;
    }
    const auto ticket = m_nextTicket++;
    m_tickets[ticket] = {program, turn};
    auto call = SoakCallers::callOf(program, turn);
    deliver(*host, m_hosts[*host].incarnation, pick(1, 10),
            [this, ticket, call](ProgramOwner& owner) { return owner.call(ticket, call, moment()); });
}

auto ProgramSoak::pump(const std::string& program) -> void
{
    auto& caller = *m_callers.of(program);
    if (caller.gone || caller.ended || m_callers.of(programs::rootOf(program))->ended) {
        return;
    }
    if (caller.spent || (m_calm && caller.answers.size() > 2)) {
        endProgram(program);
        schedulePump(program, 2'000);
        return;
    }
    const auto turn = caller.nextTurn();
    // NOTE The later of two plans to go on counts; each turn is sent again until it is answered.
    if (!m_calm && chance(0.002)) {
        caller.gone = true;
        return;
    }
    if (chance(0.1)) {
        send(program, turn + 1);
    }
    send(program, turn);
    if (chance(0.1)) {
        send(program, turn);
    }
    const auto root = programs::rootOf(program);
    if (root == program && caller.children < s_maxChildren && chance(0.1)) {
        ++caller.children;
        startChild(root);
    }
    schedulePump(program, s_resendMs);
}

auto ProgramSoak::schedulePump(const std::string& program, std::int64_t delayMs) -> void
{
    const auto number = ++m_callers.of(program)->pumps;
    later(delayMs, [this, program, number] {
        if (m_callers.of(program)->pumps == number) {
            pump(program);
        }
    });
}

auto ProgramSoak::endProgram(const std::string& program) -> void
{
    const auto host = ownerOf(program);
    if (!host) {
        return;
    }
    const auto ticket = m_nextTicket++;
    m_statusTickets[ticket] = program;
    m_callers.of(program)->ending = true;
    deliver(*host, m_hosts[*host].incarnation, 1,
            [this, ticket, program](ProgramOwner& owner) { return owner.end(ticket, "account", program, moment()); });
}

} // namespace laburnummill::testing
