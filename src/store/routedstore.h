#pragma once

#include "framework/global/iclock.h"
#include "peers/ipeers.h"
#include "store/directway.h"
#include "store/istore.h"
#include "store/storehealth.h"

namespace laburnummill::store {

/// The store by the direct way where that works, else by way of a peer that reaches it.
class RoutedStore final : public IStore
{
public:
    /// `patient`: the direct way with longer time-outs, which is used while the store is slow.
    RoutedStore(IStore& direct, IStore& patient, const StoreHealth& health, peers::IPeers& peers, const framework::IClock& clock);

    auto transact(Transaction transaction) -> framework::AsyncResult<TransactionReply> override;
    auto list(ListRequest request) -> framework::AsyncResult<RowPage> override;

    auto directWay() -> DirectWay& { return m_way; }

    /// Whether the last call succeeded on either way.
    auto isReachable() const -> bool { return m_isReachable; }

    /// Calls answered by way of a peer.
    auto relayedCalls() const -> std::uint64_t { return m_relayedCalls; }

private:
    auto note(const std::string& partition, const std::error_code& error, framework::Instant startedAt) -> void;
    /// Whether another host's call may succeed where the direct way failed.
    auto isRelayOfUse(const std::string& partition, const std::error_code& error, framework::Instant startedAt) const -> bool;
    auto relay(peers::messages::Request request) -> framework::AsyncResult<peers::messages::Response>;

    IStore& m_direct;
    IStore& m_patient;
    const StoreHealth& m_health;
    peers::IPeers& m_peers;
    const framework::IClock& m_clock;
    DirectWay m_way;
    bool m_isReachable = true;
    std::uint64_t m_relayedCalls = 0;
};

/// Whether rows found in place of the expected ones are just what `transaction` would have written.
auto isOwnWrite(const Transaction& transaction, const TransactionReply& reply) -> bool;

} // namespace laburnummill::store
