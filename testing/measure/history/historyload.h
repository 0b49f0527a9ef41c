#pragma once

#include "framework/metrics/metrics.h"
#include "platform/internal/embeddedplatform.h"
#include "programs/internal/programowner.h"
#include "testing/simulation/eventqueue.h"

#include <random>

namespace laburnummill::testing {

/// Owners that commit turns to a store of a given speed, on virtual time.
class HistoryLoad
{
public:
    struct Options
    {
        std::uint64_t seed = 1;
        std::size_t owners = 12;
        double turnsPerSecond = 20;
        double writesPerSecond = 300; ///< what the store does, one after another
        double shareOfWrites = 0.5;   ///< which the owners' pace may use
        std::size_t programsEach = 200;
        std::int64_t seconds = 30;
    };

    explicit HistoryLoad(Options options);

    /// Runs the load and yields the figures.
    auto run() -> framework::Json;

private:
    using Micros = std::int64_t;
    auto moment() const -> programs::Moment;
    auto later(Micros delay, std::function<void()> act) -> void;

    /// When a write that is sent now is done.
    auto writeDelay() -> Micros;
    auto perform(std::size_t owner, programs::Actions actions) -> void;
    auto write(std::size_t owner, const programs::WriteBatch& batch) -> void;
    auto arrive() -> void;
    auto tick(std::size_t owner) -> void;
    auto lostTurns() -> std::uint64_t;

    Options m_options;
    std::mt19937_64 m_random;
    platform::EmbeddedPlatform m_tables;
    std::vector<std::unique_ptr<programs::ProgramOwner>> m_owners;
    EventQueue<Micros> m_queue;
    std::map<std::string, std::uint32_t> m_answered;
    std::map<std::string, bool> m_waiting;
    std::map<programs::Ticket, std::string> m_tickets;
    std::map<programs::Ticket, Micros> m_finishedAt;
    framework::LatencyHistogram m_commits;
    std::vector<double> m_samples;
    programs::Ticket m_nextTicket = 1;
    std::uint64_t m_writes = 0;
    std::uint64_t m_refused = 0;
    Micros m_now = 0;
    Micros m_storeFreeAt = 0;
};

} // namespace laburnummill::testing
