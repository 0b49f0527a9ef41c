#pragma once

#include "programs/internal/heldrecords.h"
#include "programs/internal/programowner.h"
#include "testing/simulation/eventqueue.h"
#include "testing/soak/programs/soakcallers.h"
#include "testing/soak/programs/soakstore.h"

#include <deque>
#include <random>

namespace laburnummill::testing {

/// A randomised run of several owners on virtual time, against in-memory fakes; the same seed gives the same run.
class ProgramSoak
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        std::uint64_t steps = 20'000;
        std::size_t hosts = 4;
        std::string watch; ///< a program: only its events and those of hosts and store are kept
        programs::OwnerPolicy policy;
    };

    /// What a run gave.
    struct Outcome
    {
        std::vector<std::string> violations;
        std::uint64_t violatedAtStep = 0;
        std::deque<std::string> lastEvents;
        std::uint64_t answered = 0;
        std::uint64_t heldAnswers = 0;
        std::uint64_t claims = 0;
        std::uint64_t lost = 0;
        std::uint64_t deaths = 0;
        std::uint64_t outages = 0;
        std::map<std::string, std::uint64_t> refused;
        std::map<std::string, std::uint64_t> invariants;
    };

    explicit ProgramSoak(Options options);

    auto run() -> Outcome;

private:
    struct Host
    {
        std::unique_ptr<programs::ProgramOwner> owner;
        programs::HeldRecords held{1'000'000};
        std::uint64_t incarnation = 0;
        bool alive = false;
        bool inView = false;
        std::int64_t pausedUntilMs = 0;
        std::int64_t leaseUntilMs = 0; ///< while paused
    };

    class Leases;
    auto moment() const -> programs::Moment;
    auto pick(std::int64_t from, std::int64_t to) -> std::int64_t;
    auto chance(double share) -> bool;
    auto later(std::int64_t delayMs, std::function<void()> act) -> void;
    auto runEvent() -> void;
    auto note(std::string event) -> void;
    auto ownerOf(const std::string& program) const -> std::optional<std::size_t>;
    auto fencingFor(std::size_t host, std::uint64_t incarnation, const std::string& program) const -> std::optional<std::uint64_t>;

    // hosts
    auto boot(std::size_t host) -> void;
    auto kill(std::size_t host) -> void;
    auto pause(std::size_t host) -> void;
    auto changeView(std::size_t host, bool inView) -> void;
    auto tickHost(std::size_t host, std::uint64_t incarnation) -> void;
    auto reconcile(std::size_t host, std::uint64_t incarnation) -> void;
    auto reconcileEngine() -> void;
    auto disturb() -> void;

    /// Runs `event` on the owner, once the host is not paused, unless it died meanwhile; performs what it yields.
    auto deliver(std::size_t host, std::uint64_t incarnation, std::int64_t delayMs,
                 std::function<programs::Actions(programs::ProgramOwner&)> event) -> void;
    auto trace(std::size_t host, const programs::Action& action) -> void;
    auto perform(std::size_t host, const programs::Action& action) -> void;
    auto load(std::size_t host, const programs::LoadProgram& action) -> void;
    auto writeRow(std::size_t host, const programs::WriteRow& action) -> void;
    auto writeBatch(std::size_t host, const programs::WriteBatch& action) -> void;
    auto runCall(std::size_t host, const programs::RunCall& action) -> void;
    auto holdRecord(std::size_t host, const programs::HoldRecord& action) -> void;

    // callers
    auto pump(const std::string& program) -> void;
    auto schedulePump(const std::string& program, std::int64_t delayMs) -> void;
    auto send(const std::string& program, std::uint32_t turn) -> void;
    auto startChild(const std::string& root) -> void;
    auto endProgram(const std::string& program) -> void;
    auto startRoot() -> void;

    auto finish() -> void;
    auto checkEnd() -> void;
    auto checkFamily(const std::string& root) -> void;

    Options m_options;
    std::mt19937_64 m_random;
    std::int64_t m_nowMs = 1'000'000;
    std::uint64_t m_step = 0;
    std::uint64_t m_view = 1;
    EventQueue<std::int64_t> m_queue;
    std::vector<Host> m_hosts;
    SoakStore m_store;
    SoakCallers m_callers;
    std::set<std::string> m_engine; ///< programs whose caches the engine holds
    std::map<programs::Ticket, std::pair<std::string, std::uint32_t>> m_tickets;
    std::map<programs::Ticket, std::string> m_statusTickets;
    std::set<programs::Ticket> m_ran;
    std::map<std::string, programs::ProgramRow> m_known;
    programs::Ticket m_nextTicket = 1;
    std::uint64_t m_runs = 0;
    std::uint64_t m_roots = 0;
    std::uint32_t m_deathsThisOutage = 0;
    bool m_calm = false; ///< the last part of a run, without disturbances
    Outcome m_outcome;
};

} // namespace laburnummill::testing
