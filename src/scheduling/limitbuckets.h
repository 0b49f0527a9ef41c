#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <random>
#include <unordered_map>

namespace laburnummill::scheduling {

/// Token buckets for this host's share of the request rates that backend servers accept.
class LimitBuckets
{
public:
    /// `seed` must differ between hosts, so that they do not all send at the same time.
    explicit LimitBuckets(std::uint64_t seed)
        : m_random(static_cast<std::minstd_rand::result_type>(seed))
    {}

    /// Whether a request may be sent to `server` now; `perSecond` is this host's share.
    auto hasToken(std::uint64_t server, double perSecond, framework::Instant now) -> bool;

    /// Takes the token of one request.
    auto take(std::uint64_t server) -> void;

    /// Time until the server's next token; nullopt if this host has no share. `perSecond` is this host's share.
    auto timeToToken(std::uint64_t server, double perSecond, framework::Instant now) -> std::optional<framework::Milliseconds>;

private:
    struct Bucket
    {
        double tokens = 0;
        framework::Instant filledAt{};
    };

    auto fill(std::uint64_t server, double perSecond, framework::Instant now) -> Bucket&;

    std::minstd_rand m_random;
    std::unordered_map<std::uint64_t, Bucket> m_buckets;
};

} // namespace laburnummill::scheduling
