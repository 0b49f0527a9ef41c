#include "programs/tokentransfers.h"

#include <utility>

namespace laburnummill::programs {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// Exceeds the time in which a request is answered and, after that, cancelled.
constexpr auto s_retention = Milliseconds(30'000);
constexpr auto s_expiryInterval = Milliseconds(1'000);

} // namespace

auto TokenTransfers::record(std::uint64_t id, std::uint64_t tokens, Instant now) -> void
{
    removeExpired(now);
    if (id != 0 && tokens > 0) {
        m_transfers[id] = {.tokens = tokens, .isCancelled = false, .at = now};
    }
}

auto TokenTransfers::cancel(std::uint64_t id, Instant now) -> std::uint64_t
{
    removeExpired(now);
    auto& transfer = m_transfers[id];
    transfer.isCancelled = true;
    transfer.at = now;
    return std::exchange(transfer.tokens, 0);
}

auto TokenTransfers::removeExpired(Instant now) -> void
{
    if (now < m_expiredAt + s_expiryInterval) {
        return;
    }
    m_expiredAt = now;
    std::erase_if(m_transfers, [now](const auto& entry) { return now > entry.second.at + s_retention; });
}

} // namespace laburnummill::programs
