#pragma once

#include "scheduling/internal/dispatchertypes.h"

#include <map>
#include <optional>

namespace laburnummill::scheduling {

using EngineIndex = std::uint32_t;

/// What a dispatcher knows of one engine.
struct EngineState
{
    EngineSpec spec;
    bool configured = true;
    std::uint32_t inFlight = 0;         ///< permits in the books
    std::uint32_t orphans = 0;          ///< requests of executors that are gone and left no permit in the books
    framework::Instant orphansExpireAt; ///< orphans have run out by then
    std::uint32_t lastRunning = 0;      ///< requests in the last load report
    std::uint32_t savedRunning = 0;     ///< requests in a report that is kept until all deaths of its time are known
    framework::Instant savedReportAt;
    std::string startId;
    bool reported = false; ///< since this dispatcher began
    bool reportedCold = true;
    framework::Instant lastReport;
    std::optional<framework::Instant> healthySince;
    bool confirmedWarm = false;          ///< a permit given to this life of the engine says so
    std::uint64_t tokensInFlight = 0;    ///< prompts of the permits
    framework::Instant prefillBusyUntil; ///< estimate
    std::vector<std::string> models;
};

/// Decides what a back end bears and whether it takes anything new. Tests break one rule at a time.
class AdmissionRules
{
public:
    explicit AdmissionRules(DispatcherSettings settings)
        : m_settings(settings)
    {}
    virtual ~AdmissionRules() = default;

    virtual auto isWarm(const EngineState& engine, framework::Instant now) const -> bool;

    /// Requests at once that the engine bears.
    virtual auto capacity(const EngineState& engine, framework::Instant now) const -> std::uint32_t;

    /// False for what is drained, gone or was never heard of.
    virtual auto takesNew(const EngineState& engine, framework::Instant now) const -> bool;

    /// Whether a failed connection means a cold start.
    virtual auto coldAfterReset() const -> bool { return true; }

    /// Whether a new dispatcher counts what runs without a permit in its books.
    virtual auto countsOrphans() const -> bool { return true; }

    /// Whether a new dispatcher waits for its peers' open permits.
    virtual auto waitsForPeers() const -> bool { return true; }

    auto settings() const -> const DispatcherSettings& { return m_settings; }

private:
    DispatcherSettings m_settings;
};

/// The engines of a pool in one data centre: load, health and requests in flight.
class EngineRegistry
{
public:
    explicit EngineRegistry(const AdmissionRules& rules)
        : m_rules(rules)
    {}

    /// Takes the configured engines; those no longer named take nothing new.
    auto configure(const std::vector<EngineSpec>& specs) -> void;

    auto find(const std::string& name) const -> std::optional<EngineIndex>;
    auto size() const -> std::size_t { return m_engines.size(); }
    auto at(EngineIndex index) const -> const EngineState& { return m_engines[index]; }
    auto state(EngineIndex index) -> EngineState& { return m_engines[index]; }

    /// Requests that the engine may be given now.
    auto freeSlots(EngineIndex index, framework::Instant now) const -> std::uint32_t;

    /// What all engines bear together.
    auto totalSlots(framework::Instant now) const -> std::uint32_t;
    auto totalInFlight() const -> std::uint64_t;
    auto anyTakesNew(framework::Instant now) const -> bool;

    auto addInFlight(EngineIndex index, std::uint64_t promptTokens) -> void;
    auto removeInFlight(EngineIndex index, std::uint64_t promptTokens) -> void;

    /// Takes a load report. True where the engine is another life than before.
    auto applyReport(EngineIndex index, const EngineReport& report, framework::Instant now) -> bool;

    /// Keeps the last load report for a later look at orphans.
    auto saveReport(EngineIndex index) -> void;

    /// At most `amount` orphans still run.
    auto limitOrphans(EngineIndex index, std::uint32_t amount) -> void;

    /// A connection to the engine failed or its report did not come: cold at once.
    auto markCold(EngineIndex index) -> void;

    /// Ends orphans whose time is over.
    auto expireOrphans(framework::Instant now) -> void;

    /// Counts as orphans what the first report shows beyond the books.
    auto countOrphans(EngineIndex index, std::uint32_t amount, framework::Instant until) -> void;

private:
    const AdmissionRules& m_rules;
    std::vector<EngineState> m_engines;
    std::map<std::string, EngineIndex> m_byName;
};

} // namespace laburnummill::scheduling
