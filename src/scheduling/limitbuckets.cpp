#include "scheduling/limitbuckets.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::scheduling {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Capacity of a bucket, in seconds of the share; at least one request.
constexpr auto s_burstSeconds = 0.5;

/// Buckets of servers that are no longer limited are removed when there are more than this.
constexpr auto s_maxBuckets = std::size_t{1'000};
constexpr auto s_bucketLifetime = Milliseconds(60'000);

} // namespace

auto LimitBuckets::hasToken(std::uint64_t server, double perSecond, Instant now) -> bool
{
    return perSecond > 0 && fill(server, perSecond, now).tokens >= 1;
}

auto LimitBuckets::take(std::uint64_t server) -> void
{
    m_buckets[server].tokens -= 1;
}

auto LimitBuckets::timeToToken(std::uint64_t server, double perSecond, Instant now) -> std::optional<Milliseconds>
{
    if (perSecond <= 0) {
        return std::nullopt;
    }
    const auto missing = std::max(0.0, 1 - fill(server, perSecond, now).tokens);
    return std::chrono::ceil<Milliseconds>(std::chrono::duration<double>(missing / perSecond));
}

auto LimitBuckets::fill(std::uint64_t server, double perSecond, Instant now) -> Bucket&
{
    if (m_buckets.size() > s_maxBuckets) {
        std::erase_if(m_buckets, [now](const auto& entry) { return entry.second.filledAt + s_bucketLifetime < now; });
    }
    const auto [entry, isNew] = m_buckets.try_emplace(server);
    auto& bucket = entry->second;
    if (isNew) {
        bucket = {.tokens = std::uniform_real_distribution()(m_random), .filledAt = now};
    }
    const auto seconds = std::chrono::duration<double>(now - bucket.filledAt).count();
    bucket.filledAt = now;
    bucket.tokens = std::min(bucket.tokens + seconds * perSecond, std::max(1.0, perSecond * s_burstSeconds));
    return bucket;
}

} // namespace laburnummill::scheduling
