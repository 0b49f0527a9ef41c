#include "scheduling/backendchoice.h"

#include "framework/global/digest.h"
#include "scheduling/expectedfinish.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace laburnummill::scheduling {

namespace {

using backends::Backend;
using backends::BackendPtr;
using framework::Instant;
using framework::Milliseconds;

/// Prompt tokens that an engine processes per millisecond; the lowest rate among the deployed engines.
constexpr auto s_prefillTokensPerMillisecond = 85.0;

/// Time for which a request occupies a slot: about seven events of ten tokens at 3.2 ms per token on an engine. The value is
/// also used for plain services.
constexpr auto s_serviceMilliseconds = 200.0;

/// Each running request slows down the others slightly, even if slots are free.
constexpr auto s_perRunningRequestMilliseconds = 2.0;

/// Other data centres add a millisecond of latency, and traffic to them is expensive.
constexpr auto s_otherDataCentreMilliseconds = 12.0;

/// A new connection takes one to two milliseconds, during which it occupies a slot. Servers also charge for each connection.
constexpr auto s_newConnectionMilliseconds = 10.0;

/// Cost of a failed request: the delay until it is sent again, or the loss of the request.
constexpr auto s_brokenMilliseconds = 1'500.0;

/// Cost of each overdue request. An overdue request indicates that the server may never respond. The cost is about the time
/// after which a request counts as overdue.
constexpr auto s_overdueMilliseconds = 300.0;

/// Further overdue requests give no additional information.
constexpr auto s_maxOverdueCounted = 4;

/// The queue length that a server reports is ignored after this time.
constexpr auto s_reportLifetime = Milliseconds(300);

/// All hosts may send a request to a cold server at the same time if the number of hosts is at most this fraction of the
/// requests that the server can handle in a second.
constexpr auto s_coldBurstFraction = 0.5;

/// A token bucket that was not used for this time is initialised again, because the server is in a new cold start.
constexpr auto s_coldResetInterval = Milliseconds(2'000);

/// Average age of reports as a fraction of the report interval; they are also delayed by relays.
constexpr auto s_reportAge = 0.75;

/// Servers that have answered faster than usual are not taken to be more than twice as fast.
constexpr auto s_minSlowness = 0.5;

constexpr auto s_bisectionSteps = 20;

/// Most servers that are asked for their load before a request is placed.
constexpr auto s_maxProbedServers = std::size_t{4};

/// A server is taken to have a free slot if this many standard deviations more requests would leave one.
constexpr auto s_certainDeviations = 2.5;

constexpr auto s_hashRange = 18'446'744'073'709'551'616.0; // 2^64

/// Costs closer than this, in milliseconds, are equal.
constexpr auto s_equalCost = 1.0;

/// Range of the preferences of chains of turns for servers. Hosts with the same knowledge spread new chains over the servers whose cost
/// is within it, and all hosts prefer the same server for one chain.
constexpr auto s_chainPreferenceMs = 60.0;

/// Cost of a further request at a server with `inFlight` in progress, in milliseconds.
auto queueCost(const ServerLoad& load, double inFlight) -> double
{
    const auto waiting = std::max(0.0, inFlight + 1 - load.slots);
    return load.penalty + load.slowness * (s_serviceMilliseconds + s_serviceMilliseconds * waiting / load.slots +
                                           s_perRunningRequestMilliseconds * std::min(inFlight, load.slots - 1));
}

/// Cost of the way to a server, in milliseconds.
auto extraLatency(const Backend& server, const ChoiceSettings& settings) -> double
{
    return (server.entry.dataCentre == settings.ownDataCentre ? 0 : s_otherDataCentreMilliseconds) +
           (server.idleConnections > 0 ? 0 : s_newConnectionMilliseconds);
}

} // namespace

auto ColdStartLimiter::hasToken(std::uint64_t server, double perSecond, int hosts, Instant now) -> bool
{
    auto& bucket = m_buckets[server];
    if (now > bucket.filledAt + s_coldResetInterval) {
        // In a large fleet each host starts with a random fill level. Otherwise all hosts would send at the same time.
        const auto canAllStartAtOnce = hosts <= perSecond * s_coldBurstFraction;
        bucket = {.tokens = canAllStartAtOnce ? 1.0 : std::uniform_real_distribution()(m_random), .filledAt = now};
    }
    const auto seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.filledAt = now;
    bucket.tokens = std::min(1.0, bucket.tokens + seconds * perSecond / std::max(hosts, 1));
    return bucket.tokens >= 1;
}

auto ColdStartLimiter::take(std::uint64_t server) -> void
{
    m_buckets[server].tokens -= 1;
}

auto RecentStarts::count(Instant now) const -> double
{
    return m_count * std::exp(-std::chrono::duration<double>(now - m_updatedAt) / std::chrono::duration<double>(m_interval));
}

auto RecentStarts::add(Milliseconds interval, Instant now) -> void
{
    m_count = count(now) + 1;
    m_interval = std::max(interval, Milliseconds(1));
    m_updatedAt = now;
}

UnreportedStarts::UnreportedStarts(const std::vector<ServerLoad>& loads, double total)
{
    if (loads.empty() || total <= 0) {
        return;
    }
    auto low = std::numeric_limits<double>::max();
    auto high = 0.0;
    for (const auto& load : loads) {
        low = std::min(low, queueCost(load, load.inFlight));
        high = std::max(high, queueCost(load, load.inFlight + total));
    }
    for (auto step = 0; step < s_bisectionSteps; ++step) {
        m_cost = (low + high) / 2;
        auto starts = 0.0;
        for (const auto& load : loads) {
            starts += at(load);
        }
        (starts < total ? low : high) = m_cost;
    }
}

auto UnreportedStarts::at(const ServerLoad& load) const -> double
{
    // The inverse of queueCost().
    const auto rest = (m_cost - load.penalty) / load.slowness - s_serviceMilliseconds;
    const auto last = load.slots - 1; // One more request finds a free slot.
    const auto withoutQueue = rest / s_perRunningRequestMilliseconds;
    const auto inFlight =
        withoutQueue <= last ? withoutQueue : last + (rest - s_perRunningRequestMilliseconds * last) * load.slots / s_serviceMilliseconds;
    return std::clamp(inFlight - load.inFlight, 0.0, load.maxStarts);
}

auto usableSlots(const Backend& server, Instant now) -> double
{
    const auto slots = std::max(server.entry.slots, 1);
    const auto limit = server.limit->current(now);
    return limit ? std::clamp(limit->perSecond * s_serviceMilliseconds / 1'000, 1.0, static_cast<double>(slots)) : slots;
}

auto hasResponsiveServer(const std::vector<BackendPtr>& servers, const BackendRequirements& requirements, Instant now) -> bool
{
    return std::ranges::any_of(servers, [&](const BackendPtr& server) {
        const auto overdue = server->overdue(now) + server->health.remoteOverdue();
        return overdue == 0 && !server->health.isAvoided(now) && !requirements.tried.contains(server->number);
    });
}

auto BackendChoice::candidates(const std::vector<BackendPtr>& servers, const BackendRequirements& requirements,
                               const ChoiceSettings& settings, Instant now) -> std::vector<Candidate>
{
    const auto hasHealthy = std::ranges::any_of(
        servers, [&](const BackendPtr& server) { return !server->health.isAvoided(now) && !requirements.tried.contains(server->number); });
    const auto age = std::chrono::duration<double, std::milli>(settings.reportInterval).count() * s_reportAge;
    const auto stillRunning = std::exp(-age / s_serviceMilliseconds);
    auto found = std::vector<Candidate>();
    auto total = 0.0; // As many requests start as end.
    for (const auto& server : servers) {
        if (requirements.tried.contains(server->number) || (hasHealthy && server->health.isAvoided(now))) {
            continue;
        }
        const auto isLimited = server->isCold(now) && settings.coldRequestsPerSecond > 0;
        if (isLimited && !m_coldStartLimiter.hasToken(server->number, settings.coldRequestsPerSecond, settings.hosts, now)) {
            continue;
        }
        if (server->limitShare && !m_limitBuckets.hasToken(server->number, *server->limitShare, now)) {
            continue;
        }
        const auto penalty = server->health.combinedFailureShare(server->running + server->runningRemotely, now) * s_brokenMilliseconds +
                             s_overdueMilliseconds * std::min(server->overdue(now) + server->health.remoteOverdue(), s_maxOverdueCounted);
        const auto limit = server->limit->current(now);
        const auto load = ServerLoad{.inFlight = server->running + server->runningRemotely * stillRunning,
                                     .slots = static_cast<double>(std::max(server->entry.slots, 1)),
                                     .slowness = std::max(server->health.slowness(), s_minSlowness) * server->load.pace(now),
                                     .penalty = penalty,
                                     .maxStarts = limit ? limit->perSecond * age / 1'000 : std::numeric_limits<double>::max()};
        found.push_back({.server = server, .load = load, .unreported = 0, .cost = 0});
        total += server->runningRemotely * (1 - stillRunning);
    }
    if (settings.rule == PlacementRule::ExpectedFinish) {
        return found;
    }
    auto loads = std::vector<ServerLoad>();
    std::ranges::transform(found, std::back_inserter(loads), &Candidate::load);
    const auto unreported = UnreportedStarts(loads, std::max(total, (settings.hosts - 1) * m_recentStarts.count(now) * s_reportAge));
    for (auto& candidate : found) {
        candidate.unreported = unreported.at(candidate.load);
        candidate.load.inFlight += candidate.unreported;
        const auto reported = now < candidate.server->reportedAt + s_reportLifetime ? candidate.server->reportedWaiting : 0;
        if (reported > 0) {
            candidate.load.inFlight = std::max(candidate.load.inFlight, candidate.load.slots - 1 + reported);
        }
        candidate.cost = cost(*candidate.server, candidate.load, requirements, settings);
    }
    return found;
}

auto BackendChoice::choose(const std::vector<BackendPtr>& servers, const BackendRequirements& requirements, const ChoiceSettings& settings,
                           Instant now) -> BackendPtr
{
    auto found = candidates(servers, requirements, settings, now);
    if (found.empty()) {
        return nullptr;
    }
    if (settings.rule == PlacementRule::ExpectedFinish) {
        estimateFinish(found, requirements, settings, now);
        return std::ranges::min(found, {}, &Candidate::cost).server;
    }
    const auto best = std::ranges::min(found, {}, &Candidate::cost).cost;
    std::erase_if(found, [best](const Candidate& candidate) { return candidate.cost > best + s_equalCost; });
    auto room = 0.0;
    for (const auto& candidate : found) {
        room += candidate.unreported;
    }
    ++m_rotation;
    if (room <= 0 && settings.hosts > 1) {
        return found[m_random() % found.size()].server; // Hosts that used them in turn would do so in step.
    }
    if (room <= 0) {
        return found[m_rotation % found.size()].server;
    }
    auto drawn = std::uniform_real_distribution<double>(0, room)(m_random);
    for (const auto& candidate : found) {
        drawn -= candidate.unreported;
        if (drawn <= 0) {
            return candidate.server;
        }
    }
    return found.back().server;
}

auto BackendChoice::limitWait(const std::vector<BackendPtr>& servers, const BackendRequirements& requirements, int waiting, Instant now)
    -> std::optional<Milliseconds>
{
    auto share = 0.0;
    auto soonest = Milliseconds::max();
    for (const auto& server : servers) {
        if (requirements.tried.contains(server->number)) {
            continue;
        }
        if (!server->limitShare) {
            return std::nullopt;
        }
        share += *server->limitShare;
        soonest = std::min(soonest, m_limitBuckets.timeToToken(server->number, *server->limitShare, now).value_or(Milliseconds::max()));
    }
    if (soonest == Milliseconds::max()) {
        return soonest;
    }
    return soonest + std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(waiting / share));
}

auto BackendChoice::started(const BackendPtr& server, const BackendRequirements& requirements, const ChoiceSettings& settings, Instant now)
    -> void
{
    m_promptCaches.recordPrompt(server->number, requirements.prompt);
    m_recentStarts.add(settings.reportInterval, now);
    if (server->isCold(now) && settings.coldRequestsPerSecond > 0) {
        m_coldStartLimiter.take(server->number);
    }
    if (server->limitShare) {
        m_limitBuckets.take(server->number);
    }
}

auto BackendChoice::uncachedTokens(const Backend& server, const BackendRequirements& requirements, std::size_t commonParts) const -> int
{
    const auto missing = m_promptCaches.missingTokens(server.number, requirements.prompt, commonParts);
    if (requirements.lastBackend.empty() || server.entry.id != requirements.lastBackend) {
        return missing;
    }
    // This engine ran the previous turn, so it has cached all parts except the newest, even if another host sent that turn.
    return std::min(missing, requirements.prompt.empty() ? 0 : requirements.prompt.back().tokens);
}

auto BackendChoice::estimateFinish(std::vector<Candidate>& candidates, const BackendRequirements& requirements,
                                   const ChoiceSettings& settings, Instant now) const -> void
{
    const auto chain = framework::hash64(requirements.chain);
    const auto commonParts = m_promptCaches.commonParts(requirements.prompt);
    auto remote = RemoteLoad{.average = 0, .reportWeight = reportWeight(settings.reportInterval)};
    for (const auto& candidate : candidates) {
        remote.average += candidate.server->averageRunningRemotely / static_cast<double>(candidates.size());
    }
    auto average = 0.0;
    for (auto& candidate : candidates) {
        const auto& server = *candidate.server;
        const auto load = expectedLoad(server, remote, candidate.load.slots, candidate.load.penalty, now);
        const auto prefillMs = uncachedTokens(server, requirements, commonParts) / s_prefillTokensPerMillisecond;
        const auto preference = static_cast<double>(framework::hash64(server.entry.id, chain)) / s_hashRange;
        average += load.requests / static_cast<double>(candidates.size());
        candidate.freeSlots = load.slots - load.requests - 1 - s_certainDeviations * load.deviation;
        candidate.cost = expectedFinish(load, {.serviceMs = settings.serviceMs, .prefillMs = prefillMs}) + extraLatency(server, settings) +
                         s_chainPreferenceMs * preference;
    }
    for (auto& candidate : candidates) {
        // Of many uncertain figures the lowest is mostly too low.
        const auto deviation = s_certainDeviations * std::sqrt(average);
        candidate.freeSlots = std::min(candidate.freeSlots, candidate.load.slots - average - 1 - deviation);
    }
}

auto BackendChoice::serversToProbe(const std::vector<BackendPtr>& servers, const std::vector<BackendPtr>& probed,
                                   const BackendRequirements& requirements, const ChoiceSettings& settings, Instant now)
    -> std::vector<BackendPtr>
{
    const auto hasFreeSlot = [now](const BackendPtr& server) {
        const auto statement = server->load.latest(now);
        return statement && statement->load.running + statement->load.waiting < server->entry.slots;
    };
    if (probed.size() >= s_maxProbedServers || std::ranges::any_of(probed, hasFreeSlot)) {
        return {};
    }
    auto found = candidates(servers, requirements, settings, now);
    std::erase_if(found, [&probed](const Candidate& candidate) { return std::ranges::find(probed, candidate.server) != probed.end(); });
    estimateFinish(found, requirements, settings, now);
    const auto count = std::min(found.size(), probed.empty() ? 1 : s_maxProbedServers - probed.size());
    std::ranges::partial_sort(found, found.begin() + static_cast<std::ptrdiff_t>(count), {}, &Candidate::cost);
    if (found.empty() || (probed.empty() && found.front().freeSlots >= 0)) {
        return {};
    }
    auto next = std::vector<BackendPtr>();
    std::transform(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(count), std::back_inserter(next),
                   [](const Candidate& candidate) { return candidate.server; });
    return next;
}

auto BackendChoice::cost(const Backend& server, const ServerLoad& load, const BackendRequirements& requirements,
                         const ChoiceSettings& settings) const -> double
{
    auto total = queueCost(load, load.inFlight);
    total += load.slowness * uncachedTokens(server, requirements, 0) / s_prefillTokensPerMillisecond;
    return total + extraLatency(server, settings);
}

} // namespace laburnummill::scheduling
