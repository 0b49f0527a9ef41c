#include "scheduling/backendchoice.h"

#include <algorithm>
#include <limits>

namespace laburnummill::scheduling {

namespace {

using backends::Backend;
using backends::BackendPtr;
using framework::Instant;
using framework::Milliseconds;

/// Prompt tokens that an engine reads in a millisecond; the slower of the sites' engines.
constexpr auto s_prefillTokensPerMillisecond = 85.0;

/// What a request holds a slot for, in milliseconds: seven events of ten tokens at 3.2 ms a token, or plain work.
constexpr auto s_slotMilliseconds = 200.0;

/// Each running request slows the others a little, also below the number of slots.
constexpr auto s_runningMilliseconds = 2.0;

/// Other data centres are a millisecond away, and bytes to them are dear.
constexpr auto s_otherDataCentreMilliseconds = 12.0;

/// A new connection takes a millisecond or two and holds a slot meanwhile; servers also charge for each.
constexpr auto s_newConnectionMilliseconds = 10.0;

/// What a request loses on a server that breaks it: the time until it is sent again, or all of it.
constexpr auto s_brokenMilliseconds = 1'500.0;

/// A request that waits unusually long stands for a server that may never answer: about the wait after which it counts.
constexpr auto s_overdueMilliseconds = 300.0;

/// More overdue requests than that say nothing new.
constexpr auto s_overdueCounted = 4;

/// What the server said of its queue tells nothing after this time.
constexpr auto s_reportLife = Milliseconds(300);

/// Of what a cold server bears in a second, hosts that all hold a request back may send it at once.
constexpr auto s_coldBurstShare = 0.5;

/// After such a pause a server that turns cold again is a new case.
constexpr auto s_coldPause = Milliseconds(2'000);

/// Parts remembered for an engine; the sites' engines hold fewer.
constexpr auto s_partsRemembered = std::size_t{1'000};

} // namespace

auto PromptMemory::read(std::uint64_t engine, const std::vector<PromptNeed>& prompt) -> void
{
    auto& memory = m_engines[engine];
    for (const auto& need : prompt) {
        memory.parts[need.part] = ++memory.uses;
    }
    if (memory.parts.size() > s_partsRemembered) {
        const auto oldest = memory.uses - s_partsRemembered / 2;
        std::erase_if(memory.parts, [oldest](const auto& part) { return part.second < oldest; });
    }
}

auto PromptMemory::missing(std::uint64_t engine, const std::vector<PromptNeed>& prompt) const -> int
{
    const auto memory = m_engines.find(engine);
    auto tokens = 0;
    auto isHeld = memory != m_engines.end();
    for (const auto& need : prompt) {
        isHeld = isHeld && memory->second.parts.contains(need.part);
        tokens += isHeld ? 0 : need.tokens;
    }
    return tokens;
}

auto ColdStarts::mayTake(std::uint64_t server, double perSecond, int hosts, Instant now) -> bool
{
    auto& bucket = m_buckets[server];
    if (now > bucket.filledAt + s_coldPause) {
        // In a large fleet each host waits for a time of its own, or all would begin together.
        const auto mayAllBegin = hosts <= perSecond * s_coldBurstShare;
        bucket = {.tokens = mayAllBegin ? 1.0 : std::uniform_real_distribution()(m_random), .filledAt = now};
    }
    const auto seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.filledAt = now;
    bucket.tokens = std::min(1.0, bucket.tokens + seconds * perSecond / std::max(hosts, 1));
    return bucket.tokens >= 1;
}

auto ColdStarts::take(std::uint64_t server) -> void
{
    m_buckets[server].tokens -= 1;
}

auto isAnyPrompt(const std::vector<BackendPtr>& servers, const WorkNeed& need, Instant now) -> bool
{
    return std::ranges::any_of(servers, [&](const BackendPtr& server) {
        const auto overdue = server->overdue(now) + server->health.overdueElsewhere();
        return overdue == 0 && !server->health.isAvoided(now) && !need.tried.contains(server->number);
    });
}

auto BackendChoice::choose(const std::vector<BackendPtr>& servers, const WorkNeed& need, const ChoiceSettings& settings, Instant now)
    -> BackendPtr
{
    auto best = BackendPtr();
    auto bestCost = std::numeric_limits<double>::max();
    const auto hasSound = std::ranges::any_of(
        servers, [&](const BackendPtr& server) { return !server->health.isAvoided(now) && !need.tried.contains(server->number); });
    ++m_turn;
    for (auto index = std::size_t{0}; index < servers.size(); ++index) {
        // Equal servers take turns.
        const auto& server = servers[(index + m_turn) % servers.size()];
        if (need.tried.contains(server->number) || (hasSound && server->health.isAvoided(now))) {
            continue;
        }
        const auto isBounded = server->isCold(now) && settings.coldRequestsPerSecond > 0;
        if (isBounded && !m_coldStarts.mayTake(server->number, settings.coldRequestsPerSecond, settings.hosts, now)) {
            continue;
        }
        const auto serverCost = cost(*server, need, settings, now);
        if (serverCost < bestCost) {
            bestCost = serverCost;
            best = server;
        }
    }
    return best;
}

auto BackendChoice::started(const BackendPtr& server, const WorkNeed& need, const ChoiceSettings& settings, Instant now) -> void
{
    m_memory.read(server->number, need.prompt);
    if (server->isCold(now) && settings.coldRequestsPerSecond > 0) {
        m_coldStarts.take(server->number);
    }
}

auto BackendChoice::cost(const Backend& server, const WorkNeed& need, const ChoiceSettings& settings, Instant now) const -> double
{
    const auto slots = std::max(server.entry.slots, 1);
    const auto underWay = server.running + server.runningElsewhere;
    const auto reported = now < server.reportedAt + s_reportLife ? server.reportedWaiting : 0;
    const auto waiting = std::max({0, underWay + 1 - slots, reported});
    const auto slowness = std::max(server.health.slowness(), 0.5);
    auto total = slowness * (s_slotMilliseconds + s_slotMilliseconds * waiting / slots + s_runningMilliseconds * std::min(underWay, slots));
    auto unread = m_memory.missing(server.number, need.prompt);
    if (!need.lastBackend.empty() && server.entry.id == need.lastBackend) {
        // It read all but the newest part, whichever host sent it that.
        unread = std::min(unread, need.prompt.empty() ? 0 : need.prompt.back().tokens);
    }
    total += slowness * unread / s_prefillTokensPerMillisecond;
    total += server.entry.dataCentre == settings.ownDataCentre ? 0 : s_otherDataCentreMilliseconds;
    total += server.restingConnections > 0 ? 0 : s_newConnectionMilliseconds;
    total += server.health.failureShareOfAll(now) * s_brokenMilliseconds;
    total += s_overdueMilliseconds * std::min(server.overdue(now) + server.health.overdueElsewhere(), s_overdueCounted);
    return total;
}

} // namespace laburnummill::scheduling
