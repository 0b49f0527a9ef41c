#pragma once

#include "coordination/internal/invariants.h"
#include "coordination/internal/memberlease.h"
#include "coordination/internal/participantactions.h"
#include "coordination/internal/viewtransition.h"
#include "coordination/internal/witness.h"
#include "coordination/ishards.h"

#include <random>

namespace laburnummill::coordination {

/// State machine of one member: its view, its lease, its witness role and its proposals of new views.
/// Single-threaded: handlers take an event and the current time and return the actions to perform.
class Participant
{
public:
    Participant(Member self, std::vector<framework::Endpoint> seeds, const ProtocolRules& rules, std::uint64_t seed);

    auto tick(framework::Instant now) -> Actions;
    auto receive(const LeaseMessage& message, framework::Instant now) -> Actions;
    auto headsRead(std::uint64_t request, const std::optional<Heads>& heads, framework::Instant now) -> Actions;
    auto viewRead(std::uint64_t request, const ViewReadResult& storedRow, framework::Instant now) -> Actions;
    auto viewWritten(std::uint64_t request, const WriteOutcome& outcome, framework::Instant now) -> Actions;

    /// Sets the platform's list of live hosts; empty if it is unknown.
    auto setListedHosts(std::set<std::string> hosts) -> void { m_listedHosts = std::move(hosts); }

    /// Gives up the lease at once and leaves the view.
    auto leave(framework::Instant now) -> Actions;

    /// True if this member is leaving and the known view, if any, no longer contains it.
    auto hasLeft() const -> bool { return m_isLeaving && (!m_view || !m_view->contains(m_self.id)); }

    /// The fencing number under which this member may act for `shard` now; see IShards::mayAct().
    auto mayAct(const ShardKey& shard, framework::Instant now) -> framework::Result<std::uint64_t>;
    auto ownerOf(const ShardKey& shard) const -> framework::Result<Ownership>;

    auto self() const -> const Member& { return m_self; }
    auto view(std::string_view dataCentre) const -> ViewPtr;
    auto dataCentres() const -> std::vector<std::string>;
    auto isAlive(const MemberId& member) const -> bool;
    auto hasLease(framework::Instant now) const -> bool;
    auto isSettled(framework::Instant now) const -> bool;
    auto fencedMembers() const -> std::set<MemberId>;
    auto invariants() const -> const Invariants& { return m_invariants; }
    auto dump(framework::Instant now) const -> framework::Json;

private:
    struct StoreRequest
    {
        std::uint64_t id = 0;
        framework::Instant start;
        std::string dataCentre;
    };

    auto adopt(ViewPtr view, framework::Instant now) -> void;
    auto handleView(ViewPtr view, framework::Instant now) -> void;
    auto renew(framework::Instant now) -> void;
    auto sendRenewal(const Member& witness, const RenewRequest& request, framework::Instant now) -> void;
    auto handleRequest(const RenewRequest& request, framework::Instant now) -> void;
    auto handleAnswer(const RenewAnswer& answer, framework::Instant now) -> void;
    auto handleDigest(const ViewDigest& digest) -> void;
    auto sendDigest() -> void;
    auto readHeads(framework::Instant now) -> void;
    auto readView(const std::string& dataCentre, framework::Instant now) -> void;
    auto propose(framework::Instant now) -> void;
    auto nextMembers(framework::Instant now) const -> std::optional<std::vector<Member>>;
    auto nextView(std::vector<Member> members, framework::Instant now) const -> View;
    auto lostMembers(framework::Instant now) const -> std::set<MemberId>;
    auto pushView(const ViewPtr& view, const ViewPtr& previous) -> void;
    auto isPending(const std::optional<StoreRequest>& request, framework::Instant now) const -> bool;
    auto currentRenewalInterval(framework::Instant now) const -> framework::Milliseconds;
    auto jitter(framework::Milliseconds bound) -> framework::Milliseconds;
    auto takeActions() -> Actions;

    Member m_self;
    std::vector<framework::Endpoint> m_seeds;
    const ProtocolRules& m_rules;
    std::mt19937_64 m_random;
    Invariants m_invariants;
    Witness m_witness;

    ViewPtr m_view; ///< of this member's data centre
    std::optional<MemberLease> m_lease;
    std::optional<ViewTransition> m_transition;
    std::map<std::string, ViewPtr, std::less<>> m_otherViews; ///< of other data centres

    std::optional<RowState> m_storedRow; ///< own data centre's row as last read or written
    std::optional<StoreRequest> m_headsRequest;
    std::optional<StoreRequest> m_viewRequest;
    std::optional<StoreRequest> m_writeRequest;
    ViewPtr m_proposedView;
    std::set<std::string> m_listedHosts;

    std::map<std::uint64_t, framework::Instant> m_renewalStarts; ///< by sequence number
    std::uint64_t m_lastId = 0;
    framework::Instant m_lastTickAt;
    framework::Instant m_nextRenewalAt;
    framework::Instant m_nextHeadsReadAt;
    framework::Instant m_nextDigestAt;
    framework::Instant m_nextProposalAt;
    framework::Instant m_lastLeaseAt; ///< when the lease was last valid or the view was adopted
    bool m_isLeaving = false;
    bool m_isNewView = false;                        ///< no renewal was sent under `m_view` yet
    std::optional<framework::Instant> m_fencedSince; ///< since when at least one member has been fenced
    Actions m_actions;
};

} // namespace laburnummill::coordination
