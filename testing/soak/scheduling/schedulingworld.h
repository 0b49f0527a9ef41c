#pragma once

#include "scheduling/internal/dispatcher.h"
#include "testing/simulation/eventqueue.h"
#include "testing/soak/scheduling/soakbackend.h"

#include <deque>
#include <functional>
#include <map>
#include <random>

namespace laburnummill::testing {

/// What the run exchanges to see an invariant trip.
struct SchedulingParts
{
    std::function<std::unique_ptr<scheduling::AdmissionRules>()> rules;
    std::function<std::unique_ptr<scheduling::IPolicy>()> policy;
};

/// The dispatcher and rules of the product.
auto productParts() -> SchedulingParts;

/// Invariants of scheduling, as counted violations.
struct SchedulingVerdict
{
    std::uint64_t beyondBound = 0;  ///< a back end had more than it bears
    std::uint64_t whileLeaving = 0; ///< a leaving back end was given something new
    std::uint64_t outcomes = 0;     ///< a request with no outcome or with two
    std::uint64_t leaks = 0;        ///< permits, requests or orphans left at the end
    std::uint64_t starved = 0;      ///< a window in which an account that asked got nothing while others did
    std::uint64_t inside = 0;       ///< the dispatcher's own assertions
    std::uint64_t granted = 0;

    auto holds() const -> bool { return beyondBound + whileLeaving + outcomes + leaks + starved + inside == 0; }
};

/// One pool on virtual time: executors, back ends and dispatchers that follow one another, with random faults from a seed.
class SchedulingWorld
{
public:
    SchedulingWorld(std::uint64_t seed, SchedulingParts parts);

    /// Runs `steps` events, then lets everything end. Stops early at a violation.
    auto run(std::uint64_t steps) -> SchedulingVerdict;

    auto step() const -> std::uint64_t { return m_step; }
    auto lastEvents() const -> const std::deque<std::string>& { return m_lastEvents; }
    auto verdict() const -> SchedulingVerdict;

private:
    static constexpr auto s_backends = std::size_t{6};
    static constexpr auto s_executors = std::size_t{4};

    enum class State
    {
        Waiting,
        Granted,
        Done,
    };
    struct Request
    {
        scheduling::ScheduledCall call;
        State state = State::Waiting;
        scheduling::OpenPermit permit;
    };
    struct Executor
    {
        std::uint64_t holder = 0;
        std::uint64_t nextNumber = 1;
        std::uint64_t link = 1;                    ///< messages of an earlier link are lost
        std::map<std::uint64_t, Request> requests; ///< without an outcome yet
    };
    struct Share
    {
        std::uint64_t asked = 0;
        std::uint64_t granted = 0;
    };

    auto after(framework::Milliseconds delay, std::function<void()> run) -> void;
    auto toDispatcher(std::uint64_t holder, std::function<void(scheduling::Dispatcher&)> message) -> void;
    auto linkOf(std::uint64_t holder) -> std::uint64_t;
    auto note(std::string text) -> void;
    static auto keyText(const scheduling::PermitKey& key) -> std::string;
    auto chance(double probability) -> bool { return std::bernoulli_distribution(probability)(m_random); }
    auto between(std::int64_t least, std::int64_t most) -> std::int64_t
    {
        return std::uniform_int_distribution<std::int64_t>(least, most)(m_random);
    }
    auto transit() -> framework::Milliseconds { return framework::Milliseconds(between(1, 4)); }

    auto handOut() -> void;
    auto take(const scheduling::Action& action) -> void;
    auto takeGrant(const scheduling::Granted& granted) -> void;
    auto takeRefusal(const scheduling::Refused& refused) -> void;
    auto find(const scheduling::PermitKey& key) -> Request*;
    auto executorOf(std::uint64_t holder) -> Executor*;
    auto runAtBackend(const scheduling::OpenPermit& permit) -> void;
    auto endAtBackend(const scheduling::PermitKey& key, std::size_t backend, std::uint64_t life) -> void;
    auto end(const scheduling::PermitKey& key, scheduling::PermitEnd how) -> void;
    auto backendIndex(const std::string& name) const -> std::size_t;

    auto submitLoop() -> void;
    auto submitOne(Executor& executor) -> void;
    auto submit(const scheduling::ScheduledCall& call) -> void;
    auto cancelSome() -> void;
    auto tickLoop() -> void;
    auto reportLoop(std::size_t backend) -> void;
    auto faultLoop() -> void;
    auto restartBackend() -> void;
    auto toggleDrain() -> void;
    auto killExecutor() -> void;
    auto relink(Executor& executor) -> void;
    auto killDispatcher() -> void;
    auto startDispatcher() -> void;
    auto windowLoop() -> void;
    auto specs() const -> std::vector<scheduling::EngineSpec>;
    auto runEvent() -> void;
    auto shouldStop() -> bool;
    auto checkOverdue() -> void;
    auto checkEnd() -> void;

    std::mt19937_64 m_random;
    SchedulingParts m_parts;
    framework::Instant m_now{framework::Seconds(1'000)};
    std::uint64_t m_step = 0;
    EventQueue<framework::Instant> m_events;
    std::deque<std::string> m_lastEvents;
    std::vector<SoakBackend> m_backends;
    std::vector<Executor> m_executors;
    std::uint64_t m_nextHolder = 1;
    std::unique_ptr<scheduling::Dispatcher> m_dispatcher;
    std::uint64_t m_term = 0; ///< number of the dispatcher that messages are for
    std::map<std::string, Share> m_shares;
    SchedulingVerdict m_verdict;
    std::uint64_t m_insideSince = 0; ///< step at which the dispatcher's own assertions failed first
    bool m_quiet = false;
};

} // namespace laburnummill::testing
