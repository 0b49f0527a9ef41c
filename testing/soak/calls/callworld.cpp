#include "testing/soak/calls/callworld.h"

#include "backends/backenderrors.h"
#include "framework/global/nametable.h"

namespace laburnummill::testing {

using calls::CallError;
using calls::CallEvent;
using calls::callFailure;
using calls::CallOutcome;
using calls::CallStep;
using calls::IntentKey;
using calls::IntentRecord;
using calls::IntentState;
using calls::Ran;
using calls::StoreStatus;
using framework::Milliseconds;

namespace {

constexpr auto s_hosts = std::size_t{3};
constexpr auto s_patience = Milliseconds(5'000);
constexpr auto s_timeout = Milliseconds(2'000);
constexpr auto s_silentHorizon = Milliseconds(30'000);
constexpr auto s_joinPatience = Milliseconds(1'000);
constexpr auto s_keptLogLines = std::size_t{60};
constexpr auto s_callsAtOnce = std::int64_t{12};
constexpr auto s_lateCalls = std::int64_t{70};

constexpr auto s_violationNames = framework::NameTable<Violation, 4>{{
    {Violation::RanTwice, "ran_twice"},
    {Violation::RefusalUntrue, "refusal_untrue"},
    {Violation::AnswersDiffer, "answers_differ"},
    {Violation::RecordLost, "record_lost"},
}};

auto milliseconds(framework::Instant now) -> std::int64_t
{
    return std::chrono::duration_cast<Milliseconds>(now.time_since_epoch()).count();
}

auto hostName(std::size_t host) -> std::string
{
    return "host-" + std::to_string(host);
}

auto hostOf(const IntentRecord& record) -> std::size_t
{
    return static_cast<std::size_t>(std::stoul(record.executor.host.substr(5)));
}

} // namespace

auto violationName(Violation violation) -> std::string_view
{
    return framework::nameOf(s_violationNames, violation);
}

CallWorld::CallWorld(std::uint64_t seed, WorldPolicy policy)
    : m_policy(policy)
    , m_random(seed)
    , m_hosts(s_hosts)
{
    at(Milliseconds(0), [this] { sendCall(); });
    at(Milliseconds(0), [this] { disturbHost(); });
    at(Milliseconds(0), [this] { disturbStore(); });
    at(Milliseconds(0), [this] { operate(); });
}

auto CallWorld::at(Milliseconds delay, Task task) -> void
{
    m_tasks.emplace(m_now + delay, std::move(task));
}

auto CallWorld::between(std::int64_t least, std::int64_t most) -> std::int64_t
{
    return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
}

auto CallWorld::chance(unsigned percent) -> bool
{
    return between(0, 99) < percent;
}

auto CallWorld::some(std::size_t count) -> std::size_t
{
    return static_cast<std::size_t>(between(0, static_cast<std::int64_t>(count) - 1));
}

auto CallWorld::note(std::string text) -> void
{
    m_log.push_back(std::to_string(milliseconds(m_now)) + " ms: " + std::move(text));
    if (m_log.size() > s_keptLogLines) {
        m_log.pop_front();
    }
}

auto CallWorld::violate(Violation violation) -> void
{
    note("VIOLATION " + std::string(violationName(violation)));
    if (!m_violation) {
        m_violation = violation;
    }
}

auto CallWorld::run(std::uint64_t steps) -> std::optional<Violation>
{
    while (m_steps < steps && !m_violation) {
        ++m_steps;
        auto next = m_tasks.extract(m_tasks.begin());
        m_now = next.key();
        next.mapped()();
    }
    return m_violation;
}

auto CallWorld::sendCall() -> void
{
    at(Milliseconds(between(1, 60)), [this] { sendCall(); });
    const auto index = some(s_hosts);
    auto& host = m_hosts[index];
    if (!host.up || m_now < host.pausedUntil) {
        return;
    }
    // NOTE A few calls are under way at any time, each sent several times, before the callers turn to new ones.
    const auto oldest = milliseconds(m_now) / 800 - (chance(40) ? between(0, s_lateCalls) : 0);
    const auto key = IntentKey{"brewery", "key-" + std::to_string(oldest + between(0, s_callsAtOnce))};
    const auto digest = chance(3) ? "other" : "body";
    auto attempt = "attempt-" + std::to_string(m_nextAttempt++);
    if (!m_policy.joinsLive) {
        host.book.erase(key);
    }
    const auto entrance = host.book.tryAdd(key, attempt, digest);
    if (entrance != calls::AddResult::Added) {
        ++m_counts[entrance == calls::AddResult::Joined ? "joined" : "not_entered"];
        return;
    }
    note(hostName(index) + " takes " + key.keyHash + " as " + attempt);
    auto claim = IntentRecord();
    claim.key = key;
    claim.attempt = attempt;
    claim.executor = {hostName(index), host.incarnation};
    claim.bodyDigest = digest;
    claim.startedAtMs = milliseconds(m_now);
    auto running = std::make_shared<Running>();
    *running = {index, host.incarnation, key, attempt, m_runs[key] > 0, nullptr};
    running->machine = std::make_unique<calls::AtMostOnceMachine>(std::move(claim), m_now + s_patience, s_timeout,
                                                                  calls::RetryPlan(host.budget, m_random()), m_policy.once);
    host.budget.creditCall();
    perform(running, running->machine->begin(m_now));
}

auto CallWorld::restart(std::size_t index) -> void
{
    auto& host = m_hosts[index];
    ++host.incarnation;
    host.up = true;
    host.book = {};
    note(hostName(index) + " restarts as " + std::to_string(host.incarnation));
}

auto CallWorld::disturbHost() -> void
{
    at(Milliseconds(between(500, 5'000)), [this] { disturbHost(); });
    const auto index = some(s_hosts);
    auto& host = m_hosts[index];
    if (!host.up || (m_now < host.pausedUntil && chance(90))) {
        return;
    }
    if (chance(40)) {
        ++m_counts["pauses"];
        host.pausedUntil = m_now + Milliseconds(between(100, 60'000) / (chance(40) ? 20 : 1));
        note(hostName(index) + " is paused until " + std::to_string(milliseconds(host.pausedUntil)));
        return;
    }
    ++m_counts["deaths"];
    note(hostName(index) + " dies");
    host.up = false;
    at(Milliseconds(between(10, 8'000)), [this, index] { restart(index); });
}

auto CallWorld::disturbStore() -> void
{
    at(Milliseconds(between(3'000, 30'000)), [this] { disturbStore(); });
    ++m_counts["outages"];
    m_storeDownUntil = m_now + Milliseconds(between(100, 2'500));
    note("the store is down until " + std::to_string(milliseconds(m_storeDownUntil)));
}

auto CallWorld::operate() -> void
{
    at(Milliseconds(between(500, 3'000)), [this] { operate(); });
    for (const auto& [key, stored] : m_store.rows()) {
        // NOTE An operator settles an outcome when nothing of it is under way at the back end, and says what the back end's books say.
        if (stored.record.state != IntentState::Unknown || m_atBackend[key] > 0 || !chance(60)) {
            continue;
        }
        auto settled = stored.record;
        settled.state = m_runs[key] > 0 ? IntentState::Ran : IntentState::Released;
        ++m_counts["settled_" + std::string(intentStateName(settled.state))];
        note("an operator settles " + key.keyHash + ": " + std::string(intentStateName(settled.state)));
        (void)m_store.write(key, settled, stored.version);
        return;
    }
}

auto CallWorld::deliver(RunningPtr running, CallEvent event) -> void
{
    auto& host = m_hosts[running->host];
    if (!host.up || host.incarnation != running->incarnation) {
        return;
    }
    if (m_now < host.pausedUntil) {
        const auto delay = std::chrono::duration_cast<Milliseconds>(host.pausedUntil - m_now);
        at(delay, [this, running, event] { deliver(running, event); });
        return;
    }
    auto step = running->machine->handle(event, m_now);
    if (running->machine->recordLost()) {
        violate(Violation::RecordLost);
    }
    perform(std::move(running), std::move(step));
}

auto CallWorld::perform(RunningPtr running, CallStep step) -> void
{
    if (auto* write = std::get_if<calls::WriteRecord>(&step)) {
        performWrite(std::move(running), std::move(write->record), write->expected);
    } else if (const auto* remove = std::get_if<calls::RemoveRecord>(&step)) {
        performWrite(std::move(running), std::nullopt, remove->expected);
    } else if (std::holds_alternative<calls::ReadRecord>(step)) {
        performRead(std::move(running));
    } else if (auto* ask = std::get_if<calls::QueryExecutor>(&step)) {
        performAsk(std::move(running), std::move(ask->record));
    } else if (std::holds_alternative<calls::AcquirePermit>(step)) {
        auto refusal = chance(5) ? std::optional(callFailure(CallError::DeadlineExceeded, Ran::No)) : std::nullopt;
        at(Milliseconds(between(0, chance(40) ? 6'000 : 50)), [this, running, refusal] { deliver(running, calls::AcquireEnded{refusal}); });
    } else if (std::holds_alternative<calls::Dispatch>(step)) {
        performDispatch(std::move(running));
    } else if (const auto* wait = std::get_if<calls::Wait>(&step)) {
        at(wait->delay, [this, running] { deliver(running, calls::WaitEnded()); });
    } else if (const auto* published = std::get_if<calls::Publish>(&step)) {
        publish(running, published->outcome);
        at(Milliseconds(0), [this, running] { deliver(running, calls::Published()); });
    } else {
        finish(std::move(running), std::get<calls::End>(step));
    }
}

auto CallWorld::performWrite(RunningPtr running, std::optional<IntentRecord> record, std::uint64_t expected) -> void
{
    const auto key = running->key;
    const auto arrival = Milliseconds(between(0, chance(10) ? 800 : 5));
    at(arrival, [this, running, key, record, expected] {
        if (m_now < m_storeDownUntil) {
            const auto unknown = chance(30);
            deliver(running, calls::RecordWritten{unknown ? StoreStatus::Unknown : StoreStatus::Unavailable, 0});
            return;
        }
        if (!chance(12)) {
            const auto written = m_store.write(key, record, expected);
            at(Milliseconds(between(0, 5)), [this, running, written] { deliver(running, written); });
            return;
        }
        ++m_counts["lost_store_answers"];
        // NOTE The answer is lost; the write has taken effect, will do so late, or never does.
        if (chance(70)) {
            at(Milliseconds(chance(50) ? 0 : between(1, 9'000)),
               [this, key, record, expected] { (void)m_store.write(key, record, expected); });
        }
        at(Milliseconds(between(0, 500)), [this, running] { deliver(running, calls::RecordWritten{StoreStatus::Unknown, 0}); });
    });
}

auto CallWorld::performRead(RunningPtr running) -> void
{
    at(Milliseconds(between(0, 5)), [this, running] {
        if (m_now < m_storeDownUntil || chance(5)) {
            deliver(running, calls::RecordRead{StoreStatus::Unavailable, std::nullopt, {}});
            return;
        }
        auto read = calls::RecordRead{StoreStatus::Done, m_store.read(running->key), {}};
        at(Milliseconds(between(0, chance(10) ? 400 : 5)), [this, running, read] {
            auto answer = read;
            if (answer.stored) {
                answer.executorStatus = fateOf(running->host, answer.stored->record);
            }
            deliver(running, std::move(answer));
        });
    });
}

auto CallWorld::fateOf(std::size_t observer, const IntentRecord& record) -> calls::ExecutorStatus
{
    const auto index = hostOf(record);
    const auto& host = m_hosts[index];
    if (index == observer) {
        return host.incarnation == record.executor.incarnation ? calls::ExecutorStatus::Self : calls::ExecutorStatus::Terminated;
    }
    const auto replaced = host.incarnation != record.executor.incarnation;
    if (replaced && chance(80)) {
        return calls::ExecutorStatus::Terminated;
    }
    if (!replaced && chance(60)) {
        return calls::ExecutorStatus::Alive;
    }
    const auto age = Milliseconds(milliseconds(m_now) - record.startedAtMs);
    return age > s_silentHorizon ? calls::ExecutorStatus::Terminated : calls::ExecutorStatus::Unreachable;
}

auto CallWorld::performAsk(RunningPtr running, IntentRecord record) -> void
{
    const auto answered = std::make_shared<bool>(false);
    const auto answer = [this, running, answered](calls::ExecutorAnswered word) {
        if (!std::exchange(*answered, true)) {
            ++m_counts["asked"];
            at(Milliseconds(between(0, 5)), [this, running, word] { deliver(running, word); });
        }
    };
    at(s_joinPatience, [answer] { answer({calls::ExecutorReply::Running, std::nullopt}); });
    at(Milliseconds(between(0, 5)), [this, record, answer] {
        auto& host = m_hosts[hostOf(record)];
        if (!host.up || host.incarnation != record.executor.incarnation || m_now < host.pausedUntil) {
            answer({calls::ExecutorReply::Unreachable, std::nullopt});
            return;
        }
        const auto* live = host.book.find(record.key);
        if (live == nullptr || live->attempt != record.attempt) {
            ++m_counts["abandoned"];
            answer({calls::ExecutorReply::Abandoned, std::nullopt});
            return;
        }
        host.book.wait(record.key, [answer](const CallOutcome& outcome) { answer({calls::ExecutorReply::Ended, outcome}); });
    });
}

auto CallWorld::runAtBackend(const IntentKey& key, const std::string& attempt) -> std::string
{
    if (++m_runs[key] > 1) {
        violate(Violation::RanTwice);
    }
    if (m_refusedAsNotRun.contains(attempt)) {
        violate(Violation::RefusalUntrue);
    }
    m_attemptsRun.insert(attempt);
    ++m_counts["runs"];
    note("the back end runs " + key.keyHash + " for " + attempt);
    return key.keyHash + " run by " + attempt;
}

auto CallWorld::endDispatch(RunningPtr running, CallOutcome outcome, std::int64_t afterMs) -> void
{
    at(Milliseconds(afterMs), [this, running, outcome] {
        auto& host = m_hosts[running->host];
        const auto* failure = std::get_if<calls::CallFailure>(&outcome);
        const auto surelyNotRun = failure != nullptr && failure->ran == Ran::No;
        if (surelyNotRun && host.incarnation == running->incarnation) {
            host.book.clearSent(running->key);
        }
        deliver(running, calls::DispatchEnded{outcome, surelyNotRun, false});
    });
}

auto CallWorld::performDispatch(RunningPtr running) -> void
{
    const auto key = running->key;
    const auto attempt = running->attempt;
    if (m_policy.joinsLive && !m_hosts[running->host].book.markSent(key, attempt)) {
        violate(Violation::RanTwice);
        return;
    }
    const auto kind = between(0, 99);
    if (kind < 15) {
        ++m_counts["backend_refused"];
        endDispatch(running, callFailure(backends::BackendError::RefusedOverload, Ran::No), between(0, 20));
        return;
    }
    // NOTE The request runs at once, late or never, and its answer comes, or is lost with the connection.
    ++m_atBackend[key];
    const auto runs = kind >= 25;
    const auto isAnswered = kind >= 45;
    const auto runDelay = between(0, kind < 35 ? 9'000 : 40);
    const auto hostIncarnation = running->incarnation;
    at(Milliseconds(runDelay), [this, running, key, attempt, runs, isAnswered, hostIncarnation] {
        --m_atBackend[key];
        const auto body = runs ? runAtBackend(key, attempt) : std::string();
        if (isAnswered && m_hosts[running->host].incarnation == hostIncarnation) {
            endDispatch(running, calls::CallAnswer{200, "application/json", body, {}, "service-1", false}, between(0, 20));
        }
    });
    if (!isAnswered) {
        ++m_counts["backend_unknown"];
        endDispatch(running, callFailure(backends::BackendError::ConnectionLost, Ran::Unknown), between(0, 2'000));
    }
}

auto CallWorld::publish(const RunningPtr& running, const CallOutcome& outcome) -> void
{
    m_hosts[running->host].book.publish(running->key, outcome);
    if (const auto* answer = std::get_if<calls::CallAnswer>(&outcome)) {
        ++m_counts[answer->repeated ? "repeats" : "answers"];
        const auto& first = m_answers.emplace(running->key, answer->body).first->second;
        if (first != answer->body) {
            violate(Violation::AnswersDiffer);
        }
        return;
    }
    const auto& failure = std::get<calls::CallFailure>(outcome);
    ++m_counts["failed_" + failure.code];
    note(hostName(running->host) + " ends " + running->attempt + ": " + failure.code + ", ran " +
         std::string(backends::ranName(failure.ran)));
    if (failure.ran != Ran::No) {
        return;
    }
    m_refusedAsNotRun.insert(running->attempt);
    // NOTE A refusal speaks of its own sending, and of those that ran before it. One for want of the record cannot know of these,
    // and one for another body is about a call that never was.
    const auto speaksOfSendingOnly = failure.code == "record_unavailable" || failure.code == "idempotency_key_reused";
    if (m_attemptsRun.contains(running->attempt) || (!speaksOfSendingOnly && running->ranBefore)) {
        violate(Violation::RefusalUntrue);
    }
}

auto CallWorld::finish(RunningPtr running, const calls::End& end) -> void
{
    if (end.outcome) {
        publish(running, *end.outcome);
    }
    auto& book = m_hosts[running->host].book;
    if (const auto* live = book.find(running->key); live != nullptr && live->attempt == running->attempt) {
        book.erase(running->key);
    }
}

} // namespace laburnummill::testing
