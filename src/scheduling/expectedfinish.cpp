#include "scheduling/expectedfinish.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::scheduling {

namespace {

using framework::Milliseconds;

/// Lowest variance of the number of requests: even a statement that has just arrived does not tell what is on its way.
constexpr auto s_minVariance = 0.25;

/// A server that has answered faster than others is not taken to be more than twice as fast.
constexpr auto s_minSlowness = 0.5;

/// Cost of a server that did not answer when it was asked for its load: that of a request that is overdue.
constexpr auto s_silenceMs = 300.0;

/// Interval of reports beyond which they say little of a single server.
constexpr auto s_reportLifetime = Milliseconds(600);

/// A smooth maximum of 0 and `value`.
auto softplus(double value) -> double
{
    constexpr auto linearFrom = 30.0;
    return value > linearFrom ? value : std::log1p(std::exp(value));
}

} // namespace

auto reportWeight(Milliseconds interval) -> double
{
    return std::exp(-std::chrono::duration<double>(interval) / std::chrono::duration<double>(s_reportLifetime));
}

auto expectedLoad(const backends::Backend& server, const RemoteLoad& remote, double slots, double penalty, framework::Instant now)
    -> ExpectedLoad
{
    const auto own = static_cast<double>(server.running);
    const auto others = remote.average + remote.reportWeight * (server.averageRunningRemotely - remote.average);
    auto requests = own + others;
    auto variance = others; // The requests of many hosts arrive independently.
    if (const auto statement = server.load.latest(now)) {
        const auto weight = backends::StatedLoad::weightOf(std::chrono::duration_cast<Milliseconds>(now - statement->statedAt));
        requests += weight * (statement->load.running + statement->load.waiting - requests);
        variance *= 1 - weight * weight;
    }
    return {.requests = std::max(requests, own),
            .deviation = std::sqrt(std::max(variance, s_minVariance)),
            .slots = std::max(slots, 1.0),
            .pace = server.load.pace(now) * std::max(server.health.slowness(), s_minSlowness),
            .penalty = penalty + (server.load.isSilent(now) ? s_silenceMs : 0)};
}

auto expectedFinish(const ExpectedLoad& load, const ExpectedWork& work) -> double
{
    const auto excess = load.requests + 1 - load.slots;
    const auto waitMs = work.serviceMs / load.slots * load.deviation * softplus(excess / load.deviation);
    const auto delayOfOthersMs = work.prefillMs * std::min(load.requests, load.slots);
    return load.penalty + load.pace * (waitMs + work.serviceMs + work.prefillMs + delayOfOthersMs);
}

} // namespace laburnummill::scheduling
