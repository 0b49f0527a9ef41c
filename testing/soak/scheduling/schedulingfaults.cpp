#include "testing/soak/scheduling/schedulingworld.h"

#include <algorithm>

// What goes wrong in the world, and how its daemons start anew.

namespace laburnummill::testing {

using framework::Milliseconds;
using framework::Seconds;
using scheduling::Dispatcher;
using scheduling::OpenPermit;
using scheduling::PermitEnd;

namespace {

constexpr auto s_faultInterval = Milliseconds(700);
constexpr auto s_drainInForce = Milliseconds(2'000);
constexpr auto s_deathNoticed = Milliseconds(3'000);
constexpr auto s_newDispatcherAfter = Milliseconds(1'200);

} // namespace

auto SchedulingWorld::faultLoop() -> void
{
    if (m_quiet) {
        return;
    }
    const auto which = between(0, 20);
    if (which < 4) {
        restartBackend();
    } else if (which < 6) {
        toggleDrain();
    } else if (which == 6) {
        killExecutor();
    } else if (which == 7) {
        relink(m_executors[static_cast<std::size_t>(between(0, s_executors - 1))]);
    } else if (which == 8 && m_dispatcher) {
        killDispatcher();
    } else if (which == 9 && chance(0.2)) {
        for (auto number = std::size_t{0}; number < s_backends; ++number) {
            restartBackend();
        }
    }
    after(s_faultInterval, [this] { faultLoop(); });
}

auto SchedulingWorld::restartBackend() -> void
{
    const auto index = static_cast<std::size_t>(between(0, s_backends - 1));
    auto& backend = m_backends[index];
    note("restart " + backend.spec().name);
    const auto brokenOff = backend.restart(m_now, m_now + Milliseconds(between(500, 3'000)));
    const auto life = backend.life();
    auto reaches = false;
    for (const auto& key : brokenOff) {
        reaches = reaches || executorOf(key.holder) != nullptr;
        end(key, PermitEnd::ConnectionFailed);
    }
    if (reaches && m_dispatcher) {
        // NOTE Resets reach the dispatcher within two ways; grants of before need two more to arrive.
        after(Milliseconds(20), [this, index, life] {
            if (m_backends[index].life() == life) {
                m_backends[index].coldKnown();
            }
        });
    }
}

auto SchedulingWorld::toggleDrain() -> void
{
    auto& backend = m_backends[static_cast<std::size_t>(between(0, s_backends - 1))];
    backend.setLeaving(!backend.spec().isDrained, m_now + s_drainInForce);
    note((backend.spec().isDrained ? "drain " : "return ") + backend.spec().name);
    after(Milliseconds(between(10, 1'900)), [this] {
        if (m_dispatcher) {
            m_dispatcher->configure(specs(), m_now);
        }
    });
}

auto SchedulingWorld::killExecutor() -> void
{
    auto& executor = m_executors[static_cast<std::size_t>(between(0, s_executors - 1))];
    const auto holder = executor.holder;
    note("executor dies " + std::to_string(holder));
    // NOTE Its requests go on at the back ends for a while.
    executor = {m_nextHolder++, 1, 1, {}};
    after(s_deathNoticed, [this, holder] {
        if (m_dispatcher) {
            m_dispatcher->markHolderDead(holder, m_now);
        }
    });
    if (m_dispatcher && chance(0.4)) {
        // NOTE The dispatcher ran in the same daemon.
        killDispatcher();
    }
}

auto SchedulingWorld::relink(Executor& executor) -> void
{
    auto open = std::vector<OpenPermit>();
    auto waiting = std::vector<scheduling::ScheduledCall>();
    for (const auto& [number, request] : executor.requests) {
        if (request.state == State::Granted) {
            open.push_back(request.permit);
        } else {
            waiting.push_back(request.call);
        }
    }
    const auto holder = executor.holder;
    ++executor.link;
    note("relink " + std::to_string(holder));
    if (m_dispatcher) {
        m_dispatcher->reconcilePermits(holder, open, m_now);
    }
    std::ranges::for_each(waiting, [this](const auto& call) { submit(call); });
}

auto SchedulingWorld::killDispatcher() -> void
{
    note("dispatcher dies");
    m_verdict.inside += m_dispatcher->counts().grantsBeyondBound + m_dispatcher->counts().grantsToDrained;
    m_dispatcher.reset();
    after(s_newDispatcherAfter, [this] { startDispatcher(); });
}

auto SchedulingWorld::startDispatcher() -> void
{
    ++m_term;
    note("dispatcher starts");
    m_dispatcher = std::make_unique<Dispatcher>(m_parts.rules(), m_parts.policy());
    m_dispatcher->begin(m_now);
    m_dispatcher->configure(specs(), m_now);
    after(Milliseconds(between(1, 300)), [this, term = m_term] {
        if (!m_dispatcher || m_term != term) {
            return;
        }
        for (auto& executor : m_executors) {
            relink(executor);
        }
        m_dispatcher->finishRecovery(m_now);
    });
}

} // namespace laburnummill::testing
