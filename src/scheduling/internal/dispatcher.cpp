#include "scheduling/internal/dispatcher.h"

#include <algorithm>
#include <utility>

namespace laburnummill::scheduling {

using framework::Instant;
using framework::Json;
using framework::Milliseconds;

namespace {

constexpr auto s_smoothingFactor = 0.05;
constexpr auto s_minRetryAfter = Milliseconds(100);
constexpr auto s_noBackendRetryAfter = Milliseconds(2'000);
constexpr auto s_orphanLifetime = Milliseconds(60'000);

} // namespace

Dispatcher::Dispatcher(std::unique_ptr<AdmissionRules> rules, std::unique_ptr<IPolicy> policy)
    : m_rules(std::move(rules))
    , m_policy(std::move(policy))
    , m_engines(*m_rules)
{}

auto Dispatcher::begin(Instant now) -> void
{
    m_startedAt = now;
    m_hasPeerPermits = false;
}

auto Dispatcher::configure(const std::vector<EngineSpec>& engines, Instant now) -> void
{
    m_engines.configure(engines);
    dispatch(now);
}

auto Dispatcher::isRecovering(Instant now) const -> bool
{
    return m_rules->waitsForPeers() && !m_hasPeerPermits && now - m_startedAt < m_rules->settings().recoveryTime;
}

auto Dispatcher::finishRecovery(Instant now) -> void
{
    m_hasPeerPermits = true;
    dispatch(now);
}

auto Dispatcher::queueBound(Instant now) const -> std::size_t
{
    return std::size_t{m_rules->settings().queuePerSlot} * std::max(m_engines.totalSlots(now), 1U);
}

auto Dispatcher::expectedWait(const std::string& account, Instant now) const -> Milliseconds
{
    const auto slots = m_engines.totalSlots(now);
    if (slots == 0 || m_engines.totalInFlight() < slots) {
        return Milliseconds(0);
    }
    const auto ahead = static_cast<double>(m_policy->callsAhead(account) + 1);
    return Milliseconds(static_cast<std::int64_t>(ahead * m_meanPermitMs / slots));
}

auto Dispatcher::overflowTarget(const ScheduledCall& call, Instant now) const -> const PeerDispatcher*
{
    if (call.isOverflow) {
        return nullptr;
    }
    const auto here = expectedWait(call.account, now);
    const auto takesNewHere = m_engines.anyTakesNew(now) || isRecovering(now);
    const PeerDispatcher* best = nullptr;
    for (const auto& peer : m_peerDispatchers) {
        const auto isFaster = !takesNewHere || peer.expectedWait + m_rules->settings().overflowMargin < here;
        if (peer.takesNew && isFaster && (best == nullptr || peer.expectedWait < best->expectedWait)) {
            best = &peer;
        }
    }
    return best;
}

auto Dispatcher::submit(ScheduledCall call, Instant now) -> void
{
    ++m_counts.submitted;
    const auto key = call.key;
    if (m_waiting.contains(key) || m_permits.contains(key)) {
        return;
    }
    if (const auto* peer = overflowTarget(call, now)) {
        ++m_counts.overflowed;
        m_actions.emplace_back(Overflowed{key, peer->dataCentre});
        return;
    }
    const auto isLate = now + expectedWait(call.account, now) >= call.deadline;
    m_policy->add(call, now);
    m_deadlines.emplace(call.deadline, key);
    m_waiting.emplace(key, std::move(call));
    if (isLate) {
        refuse(key, SchedulingError::DeadlineExceeded, now);
    } else if (!isRecovering(now) && !m_engines.anyTakesNew(now) && now - m_startedAt >= m_rules->settings().recoveryTime) {
        refuse(key, SchedulingError::NoBackend, now);
    }
    dispatch(now);
    shed(now);
}

auto Dispatcher::removeWaiting(const PermitKey& key) -> void
{
    const auto found = m_waiting.find(key);
    m_policy->remove(key);
    m_deadlines.erase({found->second.deadline, key});
    m_waiting.erase(found);
}

auto Dispatcher::refuse(const PermitKey& key, SchedulingError error, Instant now) -> void
{
    const auto& call = m_waiting.at(key);
    const auto retryAfter = error == SchedulingError::NoBackend ? s_noBackendRetryAfter : expectedWait(call.account, now);
    m_actions.emplace_back(Refused{key, error, std::max(retryAfter, s_minRetryAfter)});
    ++m_counts.refused;
    removeWaiting(key);
}

auto Dispatcher::overflowOrRefuse(const PermitKey& key, Instant now) -> void
{
    const auto* peer = overflowTarget(m_waiting.at(key), now);
    if (peer == nullptr) {
        refuse(key, SchedulingError::NoBackend, now);
        return;
    }
    ++m_counts.overflowed;
    m_actions.emplace_back(Overflowed{key, peer->dataCentre});
    removeWaiting(key);
}

auto Dispatcher::cancel(const PermitKey& key, Instant now) -> void
{
    if (m_waiting.contains(key)) {
        ++m_counts.cancelled;
        removeWaiting(key);
    } else if (m_permits.contains(key)) {
        release(key, {PermitEnd::Cancelled, 0, 0, 0}, now);
    }
}

auto Dispatcher::recordPermit(const OpenPermit& permit, EngineIndex engine, Instant now) -> void
{
    m_engines.addInFlight(engine, permit.call.promptTokens);
    m_permitExpiries.emplace(permit.call.deadline + m_rules->settings().permitGrace, permit.call.key);
    m_permits.emplace(permit.call.key, ActivePermit{permit, engine, now, {}});
}

auto Dispatcher::grant(const Placement& placement, Instant now) -> void
{
    const auto& engine = m_engines.at(placement.engine);
    if (m_engines.freeSlots(placement.engine, now) == 0) {
        ++m_counts.grantsBeyondBound;
    }
    if (engine.spec.isDrained || !engine.configured) {
        ++m_counts.grantsToDrained;
    }
    const auto call = m_waiting.at(placement.key);
    removeWaiting(placement.key);
    const auto permit = OpenPermit{call, engine.spec.name, engine.startId, m_rules->isWarm(engine, now)};
    recordPermit(permit, placement.engine, now);
    m_policy->started(call, placement.engine, now);
    ++m_counts.granted;
    m_actions.emplace_back(Granted{permit});
}

auto Dispatcher::dispatch(Instant now) -> void
{
    if (isRecovering(now)) {
        return;
    }
    while (!m_waiting.empty()) {
        const auto placement = m_policy->choose(m_engines, now);
        if (!placement) {
            return;
        }
        grant(*placement, now);
    }
}

auto Dispatcher::shed(Instant now) -> void
{
    const auto bound = queueBound(now);
    while (m_waiting.size() > bound && !isRecovering(now)) {
        const auto victim = m_policy->firstToRefuse();
        if (!victim) {
            return;
        }
        refuse(*victim, SchedulingError::QueueFull, now);
    }
}

auto Dispatcher::endPermit(ActivePermits::iterator held, const PermitUse& use, Instant now) -> void
{
    const auto ended = std::move(held->second);
    m_permits.erase(held);
    m_orphaned.erase(ended.permit.call.key);
    m_permitExpiries.erase({ended.permit.call.deadline + m_rules->settings().permitGrace, ended.permit.call.key});
    m_engines.removeInFlight(ended.engine, ended.permit.call.promptTokens);
    ++m_counts.permitsEnded;
    const auto heldTime = std::chrono::duration_cast<Milliseconds>(now - ended.since);
    m_policy->ended(ended.permit.call, ended.engine, use, heldTime);
    if (use.end == PermitEnd::Finished) {
        m_meanPermitMs += s_smoothingFactor * (static_cast<double>(heldTime.count()) - m_meanPermitMs);
    }
}

auto Dispatcher::release(const PermitKey& key, const PermitUse& use, Instant now) -> void
{
    const auto held = m_permits.find(key);
    if (held == m_permits.end()) {
        return;
    }
    const auto engine = held->second.engine;
    endPermit(held, use, now);
    const auto failed = use.end == PermitEnd::ConnectionFailed || use.end == PermitEnd::RefusedByBackend;
    if (failed && m_rules->coldAfterReset()) {
        m_engines.markCold(engine);
    }
    dispatch(now);
}

auto Dispatcher::dropRequestsOf(std::uint64_t holder) -> void
{
    auto dropped = std::vector<PermitKey>();
    for (const auto& [key, call] : m_waiting) {
        if (key.holder == holder) {
            dropped.push_back(key);
        }
    }
    std::ranges::sort(dropped);
    std::ranges::for_each(dropped, [this](const auto& key) { removeWaiting(key); });
    m_counts.cancelled += dropped.size();
}

auto Dispatcher::reconcilePermits(std::uint64_t holder, const std::vector<OpenPermit>& permits, Instant now) -> void
{
    dropRequestsOf(holder);
    auto reported = std::set<PermitKey>();
    for (const auto& permit : permits) {
        reported.insert(permit.call.key);
    }
    for (auto held = m_permits.begin(); held != m_permits.end();) {
        const auto current = held++;
        if (current->first.holder == holder && !reported.contains(current->first)) {
            endPermit(current, {PermitEnd::Cancelled, 0, 0, 0}, now);
        }
    }
    for (const auto& permit : permits) {
        const auto engine = m_engines.find(permit.engine);
        if (!engine || m_permits.contains(permit.call.key)) {
            continue;
        }
        recordPermit(permit, *engine, now);
        auto& state = m_engines.state(*engine);
        if (permit.warm && (!state.reported || (state.startId == permit.startId && !state.reportedCold))) {
            state.confirmedWarm = true;
            state.startId = permit.startId;
        }
    }
    dispatch(now);
}

auto Dispatcher::markHolderDead(std::uint64_t holder, Instant now) -> void
{
    dropRequestsOf(holder);
    for (auto& [key, held] : m_permits) {
        if (key.holder == holder && m_orphaned.insert(key).second) {
            held.orphanedAt = now;
        }
    }
}

auto Dispatcher::orphanedOn(EngineIndex engine, Instant orphanedBy) const -> std::vector<PermitKey>
{
    auto found = std::vector<PermitKey>();
    for (const auto& key : m_orphaned) {
        const auto& held = m_permits.at(key);
        if (held.engine == engine && held.orphanedAt <= orphanedBy) {
            found.push_back(key);
        }
    }
    return found;
}

auto Dispatcher::confirmedRunning(EngineIndex engine, Instant at) const -> std::uint32_t
{
    auto amount = std::uint32_t{0};
    for (const auto& [key, held] : m_permits) {
        amount += held.engine == engine && held.since <= at && !m_orphaned.contains(key) ? 1 : 0;
    }
    return amount;
}

auto Dispatcher::endOrphaned(const std::vector<PermitKey>& keys, std::size_t amount, Instant now) -> void
{
    for (auto index = std::size_t{0}; index < std::min(amount, keys.size()); ++index) {
        endPermit(m_permits.find(keys[index]), {PermitEnd::Cancelled, 0, 0, 0}, now);
    }
}

auto Dispatcher::reconcileOrphans(EngineIndex engine, Instant now) -> void
{
    const auto& state = m_engines.at(engine);
    const auto lag = m_rules->settings().loadLag;
    if (now - state.savedReportAt <= m_rules->settings().deathDetectionTime) {
        return;
    }
    if (state.orphans == 0 && m_orphaned.empty()) {
        m_engines.saveReport(engine);
        return;
    }
    // NOTE A permit that was open before the saved report and is not orphaned now was in use at the time of the report: if its
    // executor had died by then, the death would have been detected by now. Only the other requests in the report can be orphans.
    const auto confirmed = confirmedRunning(engine, state.savedReportAt - lag);
    const auto maxOrphans = state.savedRunning > confirmed ? state.savedRunning - confirmed : 0;
    m_engines.limitOrphans(engine, maxOrphans);
    const auto candidates = orphanedOn(engine, state.savedReportAt - lag);
    m_engines.saveReport(engine);
    const auto running = std::size_t{maxOrphans - std::min(maxOrphans, state.orphans)};
    if (candidates.size() > running) {
        endOrphaned(candidates, candidates.size() - running, now);
    }
}

auto Dispatcher::handleReport(const std::string& engine, const EngineReport& report, Instant now) -> void
{
    const auto index = m_engines.find(engine);
    if (!index || (m_rules->countsOrphans() && now - m_startedAt < m_rules->settings().loadLag)) {
        return;
    }
    const auto& state = m_engines.at(*index);
    const auto first = !state.reported;
    if (m_engines.applyReport(*index, report, now)) {
        m_policy->cacheLost(*index);
        const auto lost = orphanedOn(*index, now);
        endOrphaned(lost, lost.size(), now);
    }
    if (first && m_rules->countsOrphans() && state.lastRunning > state.inFlight) {
        m_engines.countOrphans(*index, state.lastRunning - state.inFlight, now + s_orphanLifetime);
    }
    if (first) {
        m_engines.saveReport(*index);
    }
    reconcileOrphans(*index, now);
    dispatch(now);
}

auto Dispatcher::reportFailed(const std::string& engine, Instant now) -> void
{
    if (const auto index = m_engines.find(engine)) {
        m_engines.markCold(*index);
        dispatch(now);
    }
}

auto Dispatcher::cacheChanged(const std::string& engine, const std::string& program, std::uint64_t tokens) -> void
{
    if (const auto index = m_engines.find(engine)) {
        m_policy->cacheChanged(*index, program, tokens);
    }
}

auto Dispatcher::refuseExpired(Instant now) -> void
{
    while (!m_deadlines.empty() && m_deadlines.begin()->first <= now) {
        refuse(m_deadlines.begin()->second, SchedulingError::DeadlineExceeded, now);
    }
    const auto hasRecovered = !isRecovering(now) && now - m_startedAt >= m_rules->settings().recoveryTime;
    while (hasRecovered && !m_deadlines.empty() && !m_engines.anyTakesNew(now)) {
        overflowOrRefuse(m_deadlines.begin()->second, now);
    }
}

auto Dispatcher::expirePermits(Instant now) -> void
{
    while (!m_permitExpiries.empty() && m_permitExpiries.begin()->first <= now) {
        const auto key = m_permitExpiries.begin()->second;
        ++m_counts.permitsExpired;
        endPermit(m_permits.find(key), {PermitEnd::Cancelled, 0, 0, 0}, now);
    }
}

auto Dispatcher::tick(Instant now) -> void
{
    expirePermits(now);
    m_engines.expireOrphans(now);
    refuseExpired(now);
    dispatch(now);
    shed(now);
}

auto Dispatcher::takeActions() -> std::vector<Action>
{
    return std::exchange(m_actions, {});
}

auto Dispatcher::checkConsistency() -> bool
{
    auto perEngine = std::vector<std::uint32_t>(m_engines.size());
    for (const auto& [key, held] : m_permits) {
        ++perEngine[held.engine];
    }
    auto agree = m_deadlines.size() == m_waiting.size() && m_permitExpiries.size() == m_permits.size();
    for (auto index = EngineIndex{0}; index < m_engines.size(); ++index) {
        agree = agree && perEngine[index] == m_engines.at(index).inFlight;
    }
    m_counts.inconsistencies += agree ? 0 : 1;
    return agree;
}

auto Dispatcher::dump(Instant now) const -> Json
{
    auto engines = Json::array();
    for (auto index = EngineIndex{0}; index < m_engines.size(); ++index) {
        const auto& engine = m_engines.at(index);
        engines.push_back({{"name", engine.spec.name},
                           {"inFlight", engine.inFlight},
                           {"orphans", engine.orphans},
                           {"warm", m_rules->isWarm(engine, now)},
                           {"takesNew", m_rules->takesNew(engine, now)},
                           {"bears", m_rules->capacity(engine, now)}});
    }
    return {{"waiting", m_waiting.size()},
            {"openPermits", m_permits.size()},
            {"recovering", isRecovering(now)},
            {"expectedWaitMs", expectedWait({}, now).count()},
            {"submitted", m_counts.submitted},
            {"granted", m_counts.granted},
            {"refused", m_counts.refused},
            {"spilled", m_counts.overflowed},
            {"cancelled", m_counts.cancelled},
            {"permitsExpired", m_counts.permitsExpired},
            {"violations",
             {{"grantsBeyondBound", m_counts.grantsBeyondBound},
              {"grantsToLeaving", m_counts.grantsToDrained},
              {"booksInconsistent", m_counts.inconsistencies}}},
            {"engines", std::move(engines)}};
}

} // namespace laburnummill::scheduling
