#pragma once

#include "accounts/ilimits.h"
#include "accounts/internal/limitgroup.h"
#include "configuration/iconfiguration.h"
#include "coordination/ishards.h"
#include "framework/global/iclock.h"
#include "framework/global/json.h"
#include "framework/metrics/metrics.h"
#include "framework/rpc/ipeers.h"

#include <map>
#include <memory>
#include <set>

namespace laburnummill::accounts {

class LimitRequest;
class LimitReply;

/// Services that the limit router depends on.
struct LimitServices
{
    std::shared_ptr<configuration::IConfiguration> configuration;
    std::shared_ptr<coordination::IShards> shards;
    std::shared_ptr<coordination::IMembership> membership;
    std::shared_ptr<framework::IPeers> peers;
    std::shared_ptr<framework::IClock> clock;
    std::shared_ptr<framework::Metrics> metrics;
};

/// Routes each request for a token to the owner of the account's group in this data centre, which forwards it to the home
/// if necessary. Accounts are divided into few groups so that a host communicates with few others.
class LimitRouter final : public ILimits, public std::enable_shared_from_this<LimitRouter>
{
public:
    LimitRouter(LimitServices services, GrantTerms terms);

    auto take(std::string account) -> framework::Async<TakeResult> override;
    auto isReady() const -> bool override;
    auto giveBack(const Token& token) -> void override;

    /// Registers the handler for requests of peers.
    auto serve() -> void;

    /// Renews the grants of the groups owned by this host; to be called several times per grant term.
    auto renewGrants() -> void;

    /// Hands the groups owned by this host over to their next owners.
    auto handOverAll() -> framework::Async<void>;

    auto dump() const -> framework::Json;

private:
    struct OwnedGroup
    {
        std::shared_ptr<LimitGroup> group;
        std::uint64_t fencing = 0;
        std::uint64_t configuration = 0;
    };

    struct ReceivedState
    {
        LimitGroupState state;
        framework::Instant at;
    };

    auto ownedGroup(std::uint32_t number) -> std::shared_ptr<LimitGroup>;
    auto configure(OwnedGroup& owned, std::uint32_t number, framework::Instant now) -> void;
    auto takeAtOwner(std::uint32_t number, std::string account) -> framework::Async<LimitReply>;
    auto forwardToHome(std::shared_ptr<LimitGroup> group, std::uint32_t number, std::string account, std::string home)
        -> framework::Async<LimitReply>;
    auto send(std::string dataCentre, LimitRequest request) -> framework::AsyncResult<LimitReply>;
    auto handleRequest(LimitRequest request) -> framework::Async<LimitReply>;
    auto handleGrantRequest(const LimitRequest& request) -> LimitReply;
    auto renewGrant(std::shared_ptr<LimitGroup> group, std::uint32_t number, std::string grantor) -> framework::Async<void>;
    auto nextOwner(std::uint32_t number) const -> std::optional<coordination::Member>;

    LimitServices m_services;
    GrantTerms m_terms;
    framework::Instant m_startedAt;
    bool m_areOwnersKnown = false; ///< every group had an owner when grants were last renewed
    std::set<std::string> m_reachedDataCentres;
    std::map<std::uint32_t, OwnedGroup> m_owned;
    std::map<std::uint32_t, ReceivedState> m_received;
};

} // namespace laburnummill::accounts
