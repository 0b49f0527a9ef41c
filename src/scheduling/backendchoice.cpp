#include "scheduling/backendchoice.h"

#include <algorithm>
#include <cmath>
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

/// Starts count as unreported for this many report intervals: reports are up to one interval old when they arrive, and a reported
/// request ends after another one on average.
constexpr auto s_unreportedIntervals = 2;

/// Number of prompt parts tracked for each engine; deployed engines cache fewer.
constexpr auto s_maxTrackedParts = std::size_t{1'000};

} // namespace

auto PromptCacheTracker::recordPrompt(std::uint64_t engine, const std::vector<PromptPart>& prompt) -> void
{
    auto& cache = m_engines[engine];
    for (const auto& promptPart : prompt) {
        cache.parts[promptPart.part] = ++cache.uses;
    }
    if (cache.parts.size() > s_maxTrackedParts) {
        const auto oldest = cache.uses - s_maxTrackedParts / 2;
        std::erase_if(cache.parts, [oldest](const auto& part) { return part.second < oldest; });
    }
}

auto PromptCacheTracker::missingTokens(std::uint64_t engine, const std::vector<PromptPart>& prompt) const -> int
{
    const auto cache = m_engines.find(engine);
    auto tokens = 0;
    auto isHeld = cache != m_engines.end();
    for (const auto& promptPart : prompt) {
        isHeld = isHeld && cache->second.parts.contains(promptPart.part);
        tokens += isHeld ? 0 : promptPart.tokens;
    }
    return tokens;
}

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

auto RecentStarts::Count::at(Instant now) const -> double
{
    return value * std::exp(-std::chrono::duration<double>(now - updatedAt) / std::chrono::duration<double>(decayTime));
}

auto RecentStarts::Count::add(Milliseconds newDecayTime, Instant now) -> void
{
    value = at(now) + 1;
    decayTime = newDecayTime;
    updatedAt = now;
}

auto RecentStarts::add(std::uint64_t server, Milliseconds reportInterval, Instant now) -> void
{
    const auto decayTime = std::max(reportInterval * s_unreportedIntervals, Milliseconds(1));
    m_byServer[server].add(decayTime, now);
    m_all.add(decayTime, now);
}

auto RecentStarts::unreportedExcess(std::uint64_t server, std::size_t servers, int hosts, Instant now) const -> double
{
    const auto found = m_byServer.find(server);
    const auto here = found == m_byServer.end() ? 0.0 : found->second.at(now);
    const auto all = m_all.at(now);
    // Laplace's estimate of the share of the starts that go to the server.
    const auto count = static_cast<double>(servers);
    const auto share = (here + 1) / (all + count);
    return (hosts - 1) * all * (share - 1 / count);
}

auto hasResponsiveServer(const std::vector<BackendPtr>& servers, const BackendRequirements& requirements, Instant now) -> bool
{
    return std::ranges::any_of(servers, [&](const BackendPtr& server) {
        const auto overdue = server->overdue(now) + server->health.remoteOverdue();
        return overdue == 0 && !server->health.isAvoided(now) && !requirements.tried.contains(server->number);
    });
}

auto BackendChoice::choose(const std::vector<BackendPtr>& servers, const BackendRequirements& requirements, const ChoiceSettings& settings,
                           Instant now) -> BackendPtr
{
    auto best = BackendPtr();
    auto bestCost = std::numeric_limits<double>::max();
    const auto hasHealthy = std::ranges::any_of(
        servers, [&](const BackendPtr& server) { return !server->health.isAvoided(now) && !requirements.tried.contains(server->number); });
    ++m_rotation;
    for (auto index = std::size_t{0}; index < servers.size(); ++index) {
        // Rotate the start of the list, so that servers of equal cost are used in turn.
        const auto& server = servers[(index + m_rotation) % servers.size()];
        if (requirements.tried.contains(server->number) || (hasHealthy && server->health.isAvoided(now))) {
            continue;
        }
        const auto isLimited = server->isCold(now) && settings.coldRequestsPerSecond > 0;
        if (isLimited && !m_coldStartLimiter.hasToken(server->number, settings.coldRequestsPerSecond, settings.hosts, now)) {
            continue;
        }
        const auto unreported = m_recentStarts.unreportedExcess(server->number, servers.size(), settings.hosts, now);
        const auto serverCost = cost(*server, requirements, settings, unreported, now);
        if (serverCost < bestCost) {
            bestCost = serverCost;
            best = server;
        }
    }
    return best;
}

auto BackendChoice::started(const BackendPtr& server, const BackendRequirements& requirements, const ChoiceSettings& settings, Instant now)
    -> void
{
    m_promptCaches.recordPrompt(server->number, requirements.prompt);
    m_recentStarts.add(server->number, settings.reportInterval, now);
    if (server->isCold(now) && settings.coldRequestsPerSecond > 0) {
        m_coldStartLimiter.take(server->number);
    }
}

auto BackendChoice::cost(const Backend& server, const BackendRequirements& requirements, const ChoiceSettings& settings, double unreported,
                         Instant now) const -> double
{
    const auto slots = std::max(server.entry.slots, 1);
    const auto inFlight = std::max(0.0, server.running + server.runningRemotely + unreported);
    const auto reported = now < server.reportedAt + s_reportLifetime ? server.reportedWaiting : 0;
    const auto waiting = std::max({0.0, inFlight + 1 - slots, static_cast<double>(reported)});
    const auto slowness = std::max(server.health.slowness(), 0.5);
    auto total = slowness * (s_serviceMilliseconds + s_serviceMilliseconds * waiting / slots +
                             s_perRunningRequestMilliseconds * std::min(inFlight, static_cast<double>(slots)));
    auto uncachedTokens = m_promptCaches.missingTokens(server.number, requirements.prompt);
    if (!requirements.lastBackend.empty() && server.entry.id == requirements.lastBackend) {
        // This engine ran the previous turn, so it has cached all parts except the newest, even if another host sent that turn.
        uncachedTokens = std::min(uncachedTokens, requirements.prompt.empty() ? 0 : requirements.prompt.back().tokens);
    }
    total += slowness * uncachedTokens / s_prefillTokensPerMillisecond;
    total += server.entry.dataCentre == settings.ownDataCentre ? 0 : s_otherDataCentreMilliseconds;
    total += server.idleConnections > 0 ? 0 : s_newConnectionMilliseconds;
    total += server.health.combinedFailureShare(now) * s_brokenMilliseconds;
    total += s_overdueMilliseconds * std::min(server.overdue(now) + server.health.remoteOverdue(), s_maxOverdueCounted);
    return total;
}

} // namespace laburnummill::scheduling
