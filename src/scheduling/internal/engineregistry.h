#pragma once

#include "scheduling/internal/dispatchertypes.h"

#include <map>
#include <optional>

namespace laburnummill::scheduling {

using EngineIndex = std::uint32_t;

/// A dispatcher's state of one engine.
struct EngineState
{
    EngineSpec spec;
    bool configured = true;
    std::uint32_t inFlight = 0;         ///< open permits recorded for the engine
    std::uint32_t orphans = 0;          ///< requests of dead executors for which no permit is recorded
    framework::Instant orphansExpireAt; ///< time at which all orphans are assumed to have ended
    std::uint32_t lastRunning = 0;      ///< requests in the last load report
    std::uint32_t savedRunning = 0;     ///< requests in the saved report; evaluated when all executor deaths before it are detected
    framework::Instant savedReportAt;
    std::string startId;
    bool reported = false; ///< whether a report has arrived since this dispatcher started
    bool reportedCold = true;
    framework::Instant lastReport;
    std::optional<framework::Instant> healthySince;
    bool confirmedWarm = false;          ///< an open permit shows that the engine's current incarnation is warm
    std::uint64_t tokensInFlight = 0;    ///< prompt tokens of the open permits
    framework::Instant prefillBusyUntil; ///< estimate
    std::vector<std::string> models;
};

/// Rules for an engine's capacity and for whether it accepts new requests. Virtual so that tests can violate single rules.
class AdmissionRules
{
public:
    explicit AdmissionRules(DispatcherSettings settings)
        : m_settings(settings)
    {}
    virtual ~AdmissionRules() = default;

    /// Whether the engine has finished its cold start.
    virtual auto isWarm(const EngineState& engine, framework::Instant now) const -> bool;

    /// Number of requests that the engine may run concurrently.
    virtual auto capacity(const EngineState& engine, framework::Instant now) const -> std::uint32_t;

    /// Whether the engine accepts new requests. False if it is drained, not configured or without a recent report.
    virtual auto takesNew(const EngineState& engine, framework::Instant now) const -> bool;

    /// Whether a failed connection marks the engine as cold.
    virtual auto coldAfterReset() const -> bool { return true; }

    /// Whether a new dispatcher counts running requests for which it has no permit.
    virtual auto countsOrphans() const -> bool { return true; }

    /// Whether a new dispatcher waits for the open permits of its peers.
    virtual auto waitsForPeers() const -> bool { return true; }

    auto settings() const -> const DispatcherSettings& { return m_settings; }

private:
    DispatcherSettings m_settings;
};

/// The engines of a pool in one data centre with their load, health and requests in flight.
class EngineRegistry
{
public:
    explicit EngineRegistry(const AdmissionRules& rules)
        : m_rules(rules)
    {}

    /// Sets the configured engines. Engines that are no longer configured accept no new requests.
    auto configure(const std::vector<EngineSpec>& specs) -> void;

    auto find(const std::string& name) const -> std::optional<EngineIndex>;
    auto size() const -> std::size_t { return m_engines.size(); }
    auto at(EngineIndex index) const -> const EngineState& { return m_engines[index]; }
    auto state(EngineIndex index) -> EngineState& { return m_engines[index]; }

    /// Number of further requests that the engine accepts now.
    auto freeSlots(EngineIndex index, framework::Instant now) const -> std::uint32_t;

    /// Total capacity of the engines that accept new requests.
    auto totalSlots(framework::Instant now) const -> std::uint32_t;
    auto totalInFlight() const -> std::uint64_t;
    auto anyTakesNew(framework::Instant now) const -> bool;

    auto addInFlight(EngineIndex index, std::uint64_t promptTokens) -> void;
    auto removeInFlight(EngineIndex index, std::uint64_t promptTokens) -> void;

    /// Applies a load report. Returns true if the engine has restarted since its last report.
    auto applyReport(EngineIndex index, const EngineReport& report, framework::Instant now) -> bool;

    /// Saves the last load report. It is compared with the open permits later, to find orphans.
    auto saveReport(EngineIndex index) -> void;

    /// Reduces the number of orphans to `amount` if it is higher.
    auto limitOrphans(EngineIndex index, std::uint32_t amount) -> void;

    /// Marks the engine as cold, after a failed connection or a missing report.
    auto markCold(EngineIndex index) -> void;

    /// Removes orphans that have expired.
    auto expireOrphans(framework::Instant now) -> void;

    /// Sets the number of orphans: the requests in the first report minus the recorded permits. They expire at `until`.
    auto countOrphans(EngineIndex index, std::uint32_t amount, framework::Instant until) -> void;

private:
    const AdmissionRules& m_rules;
    std::vector<EngineState> m_engines;
    std::map<std::string, EngineIndex> m_byName;
};

} // namespace laburnummill::scheduling
