#pragma once

#include "framework/global/iclock.h"
#include "programs/turn.h"

#include <cstdint>
#include <map>

namespace laburnummill::programs {

/// The transfers of tokens from this host to others, by ids that the asking hosts choose. A host that receives no answer to its request
/// cancels the transfer, so that its tokens are counted once whether the request or the answer was lost or late. Does no I/O.
class TokenTransfers
{
public:
    /// Whether the transfer has not been cancelled before it could begin. `id`: 0 if the asking host gives none.
    auto mayBegin(std::uint64_t id) const -> bool { return id == 0 || !m_transfers.contains(id) || !m_transfers.at(id).isCancelled; }

    /// `tokens` have been transferred.
    auto record(std::uint64_t id, std::uint64_t tokens, framework::Instant now) -> void;

    /// The asking host does not have the tokens and will not use them. Returns how many this host takes back; 0 if the transfer has not
    /// begun or was cancelled before.
    auto cancel(std::uint64_t id, framework::Instant now) -> std::uint64_t;

private:
    struct Transfer
    {
        std::uint64_t tokens = 0;
        bool isCancelled = false;
        framework::Instant at{};
    };

    auto removeExpired(framework::Instant now) -> void;

    std::map<std::uint64_t, Transfer> m_transfers;
    framework::Instant m_expiredAt{};
};

} // namespace laburnummill::programs
