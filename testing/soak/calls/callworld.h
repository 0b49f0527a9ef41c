#pragma once

#include "calls/internal/atmostoncemachine.h"
#include "calls/internal/attemptregistry.h"
#include "testing/soak/calls/fakestore.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// What is taken away in a world: the machine's mechanisms, and those around it.
struct WorldPolicy
{
    calls::AtMostOncePolicy once;
    bool joinsLive = true; ///< a repeat joins the attempt that is live on the same host
};

/// Invariants that a world checks.
enum class Violation
{
    RanTwice,      ///< a call ran more often than once
    RefusalUntrue, ///< a failure said that the call did not run, and it did
    AnswersDiffer, ///< a repeat got another answer
    RecordLost,    ///< an attempt's record was changed by another hand
};

auto violationName(Violation violation) -> std::string_view;

/// Several executors' machines on virtual time against a store and a back end that fail in every way they can.
/// The same seed gives the same run.
class CallWorld
{
public:
    CallWorld(std::uint64_t seed, WorldPolicy policy = {});

    /// Takes up to `steps` events; the first violation ends the run.
    auto run(std::uint64_t steps) -> std::optional<Violation>;

    auto stepsTaken() const -> std::uint64_t { return m_steps; }
    auto lastEvents() const -> const std::deque<std::string>& { return m_log; }

    /// How often each kind of outcome, fault and act came up: shows that a run has been through what it should.
    auto counts() const -> const std::map<std::string, std::uint64_t>& { return m_counts; }

private:
    struct Running
    {
        std::size_t host = 0;
        std::uint64_t incarnation = 0;
        calls::IntentKey key;
        std::string attempt;
        bool ranBefore = false; ///< the call had run when this sending came in
        std::unique_ptr<calls::AtMostOnceMachine> machine;
    };
    struct Host
    {
        std::uint64_t incarnation = 1;
        bool up = true;
        framework::Instant pausedUntil{};
        calls::AttemptRegistry book;
        calls::RetryBudget budget;
    };
    using RunningPtr = std::shared_ptr<Running>;
    using Task = std::function<void()>;

    auto at(framework::Milliseconds delay, Task task) -> void;
    auto chance(unsigned percent) -> bool;
    auto between(std::int64_t least, std::int64_t most) -> std::int64_t;
    auto some(std::size_t count) -> std::size_t;
    auto note(std::string text) -> void;
    auto violate(Violation violation) -> void;

    auto sendCall() -> void;
    auto disturbHost() -> void;
    auto disturbStore() -> void;
    auto operate() -> void;
    auto restart(std::size_t host) -> void;

    auto deliver(RunningPtr running, calls::CallEvent event) -> void;
    auto perform(RunningPtr running, calls::CallStep step) -> void;
    auto performWrite(RunningPtr running, std::optional<calls::IntentRecord> record, std::uint64_t expected) -> void;
    auto performRead(RunningPtr running) -> void;
    auto performAsk(RunningPtr running, calls::IntentRecord record) -> void;
    auto performDispatch(RunningPtr running) -> void;
    auto endDispatch(RunningPtr running, calls::CallOutcome outcome, std::int64_t afterMs) -> void;
    auto finish(RunningPtr running, const calls::End& end) -> void;

    auto runAtBackend(const calls::IntentKey& key, const std::string& attempt) -> std::string;
    auto publish(const RunningPtr& running, const calls::CallOutcome& outcome) -> void;
    auto fateOf(std::size_t observer, const calls::IntentRecord& record) -> calls::ExecutorStatus;

    WorldPolicy m_policy;
    std::mt19937_64 m_random;
    framework::Instant m_now{};
    std::multimap<framework::Instant, Task> m_tasks;
    std::vector<Host> m_hosts;
    FakeStore m_store;
    framework::Instant m_storeDownUntil{};
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_steps = 0;
    std::map<calls::IntentKey, std::uint64_t> m_runs;
    std::map<calls::IntentKey, std::uint64_t> m_atBackend; ///< requests sent and not settled there
    std::map<calls::IntentKey, std::string> m_answers;
    std::set<std::string> m_attemptsRun;
    std::set<std::string> m_refusedAsNotRun;
    std::optional<Violation> m_violation;
    std::deque<std::string> m_log;
    std::map<std::string, std::uint64_t> m_counts;
};

} // namespace laburnummill::testing
