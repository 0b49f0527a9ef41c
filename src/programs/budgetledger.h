#pragma once

#include "framework/global/async.h"
#include "peers/callall.h"
#include "peers/ipeers.h"
#include "programs/advancetokens.h"
#include "programs/alternategrants.h"
#include "programs/claimpolicy.h"
#include "programs/outagegrants.h"
#include "programs/outagegrantsearch.h"
#include "programs/programtable.h"
#include "programs/spentprograms.h"
#include "programs/tokentransfers.h"
#include "programs/turnabsence.h"
#include "store/istore.h"
#include "store/storehealth.h"

#include <array>
#include <limits>
#include <optional>
#include <random>

namespace laburnummill::programs {

/// Result of reserving a turn's tokens from its program's budget.
enum class BudgetOutcome
{
    Reserved,
    Exhausted,    ///< the budget has too few tokens left for the turn
    Undetermined, ///< neither the store nor the other hosts gave enough information
};

/// Tokens reserved for a turn. During a store outage these may be fewer than the turn's maximum; the turn is then cut off at
/// that number.
struct Reservation
{
    BudgetOutcome outcome = BudgetOutcome::Undetermined;
    std::uint64_t tokens = 0;
    bool isRecorded = true; ///< the program's row contains the tokens
};

/// Enforces the token budgets of programs across all hosts. A host records a grant in the program's row in the store before it
/// uses the tokens, so that the tokens in use never exceed those in the row, whichever hosts fail. While the store is away, one host of
/// each group of hosts that reach each other grants tokens that the row does not contain, within the bounds of OutageGrants: to programs
/// whose callers send the history, and, recorded in another partition, to programs whose partition is away by itself. The hosts that
/// support a grantor remember it, so that its grants are counted although it does not answer any more. Hosts other than a program's home
/// host reserve tokens through the home host if they can reach it. With TokenRequests::InAdvance, such a host holds up to one turn's tokens
/// for a program's next turn.
class BudgetLedger
{
public:
    BudgetLedger(framework::asio::any_io_executor executor, ProgramTable& table, store::IStore& store,
                 const store::IStoreStatus& storeStatus, peers::IPeers& peers, const framework::IClock& clock,
                 TokenRequests requests = TokenRequests::PerTurn);

    /// Reserves the most that a turn may generate.
    auto reserve(ProgramKey key, TokenDemand demand) -> framework::Async<Reservation>;

    /// Whether the program has run turns: this host, its home or a host of another data centre that may stand in for it knows it.
    auto isInProgress(ProgramKey key) -> framework::Async<bool>;

    /// Adds tokens to the reservation of a running turn that was given fewer than it may generate. They come from the program's row or from
    /// tokens that were returned to this host, never from a grant without the store. Returns false if there are none by `endBy`.
    auto extend(ProgramKey key, std::uint64_t tokens, framework::Instant endBy) -> framework::Async<bool>;

    /// Ends a reservation of which `used` tokens were generated. Returns the number of free tokens to send back to the
    /// program's home host; they are no longer counted on this host. Returns 0 if this host is the home.
    auto settle(const ProgramKey& key, std::uint64_t reserved, std::uint64_t used) -> std::uint64_t;

    /// Reserves tokens on behalf of a turn at another host and transfers them to that host. `transfer`: see TokenTransfers.
    auto reserveForPeer(ProgramKey key, TokenDemand demand, std::uint64_t transfer = 0) -> framework::Async<Reservation>;

    /// Answers another host's query for tokens. `replicatedTokens`: unrecorded tokens of the program in turns that other hosts ran
    /// and this host holds.
    auto answer(peers::messages::GrantQuery query, std::uint64_t replicatedTokens) -> framework::Async<peers::messages::Response>;

    /// Adds tokens that a turn at another host did not use.
    auto acceptReturnedTokens(const ProgramKey& key, std::uint64_t tokens) -> void;

    /// The host that asked for this transfer has received no answer and does not use its tokens.
    auto cancelTransfer(const ProgramKey& key, std::uint64_t transfer) -> void;

    /// Returns tokens held in advance for which no turn came; called several times a second.
    auto returnUnused() -> void;

    /// Gives tokens that no turn uses back to the budgets of their programs, by ClaimPolicy, and repeats cancellations of transfers that
    /// were not confirmed; called several times a second.
    auto releaseUnused() -> void;

    /// Returns all tokens held in advance, holds none from now on, and gives back all that turns leave.
    auto stopHolding() -> void;

    /// Whether tokens remain to be given back, of programs whose rows the store accepts.
    auto hasUnreleased() const -> bool;

    /// The programs about whose grants without the store other hosts have to ask this one.
    auto outageGrants() const -> OutageGrantSummaries { return m_grantSearch.summaries(m_table); }

    /// Whether this host has granted tokens that are not in their programs' rows yet.
    auto hasUnrecordedGrants() const -> bool { return m_table.hasUnrecordedTokens(); }

    /// Programs that were refused for their budgets.
    auto spentPrograms() -> SpentPrograms& { return m_spent; }

    /// Number of requests in advance, returns and releases that the home hosts or the store have not answered yet.
    auto openTransfers() const -> int { return m_openTransfers + static_cast<int>(m_openReleases); }

    /// Writes grants made during a store outage into the rows of their programs, or to other partitions while those of the rows are away;
    /// called about once a second.
    auto recordUnrecordedGrants() -> framework::Async<void>;

    /// Grants that hosts have recorded in other partitions than those of the programs' rows.
    auto alternateGrants() -> AlternateGrants& { return m_alternateGrants; }

    /// Transfers up to `maxTokens` free tokens of a program to another host; returns how many.
    auto transferTokens(const ProgramKey& key, std::uint64_t maxTokens) -> std::uint64_t;

    /// Tokens reserved for running turns on this host.
    auto reserved(const ProgramKey& key) const -> std::uint64_t;

    /// Tokens granted on this host that the program's row does not contain yet.
    auto unrecordedTokens(const ProgramKey& key) const -> std::uint64_t;

    /// Tokens of a program's budget that no host has claimed, by the row as last read or written on this host.
    auto unclaimedTokens(const ProgramKey& key) const -> std::uint64_t;

    /// Whether this host has granted tokens of the program or has read its row.
    auto hasProgram(const ProgramKey& key) const -> bool;

private:
    enum class Refill
    {
        Done,
        Exhausted, ///< the row has fewer unclaimed tokens than needed
        Contended, ///< all write attempts conflicted with writes by other hosts
        Failed,    ///< the store did not answer or returned an error
    };

    /// What the other hosts reported about a program.
    struct PeerHoldings
    {
        bool isProgramKnown = false;
        bool hasRunningTurns = false; ///< some hosts run turns of it and may return tokens soon
        std::string grantor;          ///< address of the host that grants tokens in place of this one; may be empty
        /// Unclaimed tokens of the budget: the lowest number that any host reported.
        std::uint64_t unclaimedTokens = std::numeric_limits<std::uint64_t>::max();
        std::uint64_t unrecordedTokens = 0; ///< granted and possibly missing from the row
        FleetView fleet;
        /// Grantors that neither answered nor are in the row, with the number of hosts that answered and support them.
        std::map<HostIncarnation, std::uint64_t> silentGrantors;
    };

    /// A transfer to this host that the host at `address` is to take back.
    struct Cancellation
    {
        std::string address;
        ProgramKey key;
        std::uint64_t transfer = 0;
        framework::Instant until{};
    };

    struct RefillState
    {
        bool isRunning = false;
        Refill last = Refill::Done;
        std::optional<framework::Instant> storeCallStartedAt; ///< set while a store request is in progress
    };

    auto reserveHere(ProgramKey key, TokenDemand demand, bool isGrantor) -> framework::Async<Reservation>;
    /// Reserves tokens while the store is away: at the grantor of the program if there is one, else as a grant of this host.
    auto reserveWithoutStore(const ProgramKey& key, ProgramPtr program, const TokenDemand& demand, const PeerHoldings& others,
                             bool isGrantor) -> framework::Async<Reservation>;
    auto logClaim(const ProgramKey& key, const Program& program, std::uint64_t tokens, const framework::Result<bool>& isWritten) const
        -> void;
    auto recordIfSpent(const ProgramKey& key, const Reservation& reservation) -> void;
    auto reserveAtHome(ProgramKey key, std::string home, TokenDemand demand) -> framework::Async<std::optional<Reservation>>;
    /// Reserves tokens at another host. With requests in advance, the wait is limited to what is usual; tokens that arrive later are
    /// held for the next turn or returned.
    auto reserveAt(ProgramKey key, std::string address, TokenDemand demand) -> framework::Async<std::optional<Reservation>>;
    auto releaseLate(const ProgramKey& key, const Reservation& reservation, const TokenDemand& demand) -> void;
    /// Sends a query that may transfer tokens to this host, and cancels the transfer if there is no answer.
    auto callForTokens(std::string address, peers::messages::GrantQuery query, framework::Milliseconds timeout)
        -> framework::AsyncResult<peers::messages::Response>;
    auto sendCancellations() -> void;
    auto cancelAt(Cancellation cancellation) -> framework::Async<void>;
    auto mayHoldInAdvance(const Program& program) const -> bool;
    /// Returns the number of free tokens to send back after a turn; requests those that the next turn lacks.
    auto settleInAdvance(const ProgramKey& key, Program& program, std::uint64_t turnTokens) -> std::uint64_t;
    auto requestInAdvance(ProgramKey key, std::string home, std::uint64_t tokens, std::uint64_t turnTokens) -> framework::Async<void>;
    auto transferInAdvance(const ProgramKey& key, const std::string& holder, std::uint64_t tokens) -> std::uint64_t;
    /// Claims tokens for the next turn if too few are free.
    auto prefetch(const ProgramKey& key, const ProgramPtr& program, std::uint64_t maxTokens) -> void;
    auto returnTokens(const ProgramKey& key, std::uint64_t tokens) -> void;
    /// Waits until the claim of tokens that is under way ends or `isOver`; not while the store is away.
    auto awaitClaim(const ProgramKey& key, ProgramPtr program, std::uint64_t maxTokens, framework::Instant deadline,
                    framework::Instant endBy) -> framework::Async<void>;
    auto isClaiming(const ProgramKey& key) const -> bool;
    auto lastRefill(const ProgramKey& key) const -> Refill;
    /// Whether a turn waits no longer: it waits until `deadline`, and while the store is slow until `endBy`.
    auto isOver(const ProgramKey& key, framework::Instant deadline, framework::Instant endBy) const -> bool;
    auto storeState(const ProgramKey& key) const -> store::StoreState;
    /// For how long the call to the store has been under way that is to claim tokens; 0 if none is.
    auto claimAge(const ProgramKey& key) const -> framework::Milliseconds;
    auto startRefill(const ProgramKey& key, const ProgramPtr& program, std::uint64_t maxTokens) -> void;
    /// Returns whether a claim begins now: while the store is away, one for each partition in a while.
    auto beginClaim(const ProgramKey& key) -> bool;
    auto refill(ProgramKey key, ProgramPtr program, std::uint64_t maxTokens) -> framework::Async<Refill>;
    /// Finds out whether the row has too few tokens indeed. Returns Done if the claim is to be tried once more.
    auto confirmShortage(ProgramKey key, ProgramPtr program, bool isRowFresh) -> framework::Async<Refill>;
    auto claimState(const Program& program) const -> ClaimState;
    /// Tokens that this host gives back now.
    auto releasable(const ProgramKey& key, const Program& program, framework::Milliseconds idle) const -> std::uint64_t;
    auto release(ProgramKey key, ProgramPtr program, std::uint64_t tokens) -> framework::Async<void>;
    static auto prefetchSize(const Program& program, std::uint64_t unclaimedTokens, std::uint64_t maxTokens) -> std::uint64_t;
    /// Tokens that other hosts may have granted without recording them in the row yet.
    auto possiblyUnrecorded(ProgramKey key, ProgramPtr program, std::uint64_t maxTokens) -> framework::Async<std::uint64_t>;
    auto writeRow(ProgramKey key, ProgramPtr program, std::uint64_t tokens) -> framework::AsyncResult<bool>;
    auto readRow(ProgramKey key, ProgramPtr program) -> framework::Async<bool>;
    /// Hosts that may have tokens of the program: its home hosts, those in its row, and those that may have granted some without it.
    auto possibleHolders(const ProgramKey& key, const Program& program) const -> std::vector<std::string>;
    /// Asks possibleHolders(), and all hosts while the store is away or if a grantor is silent: those that support it then count.
    auto queryPeers(ProgramKey key, ProgramPtr program, std::uint64_t need) -> framework::Async<PeerHoldings>;
    auto queryHosts(const ProgramKey& key, ProgramPtr program, std::vector<std::string> addresses, std::uint64_t need)
        -> framework::Async<peers::CallResults>;
    auto holdingsFrom(const ProgramKey& key, Program& program, const peers::CallResults& answers) const -> PeerHoldings;
    /// Asks all reachable hosts to support the grants of this host. Returns the address of another host if this one supports it.
    auto collectSupport(ProgramKey key, ProgramPtr program) -> framework::Async<std::string>;
    /// Whether this host supports the grants of the host at `grantor`; it does if it supports no other host.
    auto support(Program& program, std::string_view grantor, std::uint64_t incarnation) -> bool;
    /// Whether this host may grant tokens of the program without the store.
    auto mayGrantWithoutStore(const ProgramKey& key, const Program& program, const TokenDemand& demand, const PeerHoldings& others) const
        -> bool;
    auto grantWithoutStore(const ProgramKey& key, Program& program, const TokenDemand& demand, const PeerHoldings& others) -> Reservation;
    /// Whether the program may have started during this outage, so that no row limits what it may still use.
    auto mayHaveStartedNow(const Program& program, const TokenDemand& demand, const PeerHoldings& others) const -> bool;
    auto unrecordedGrantLimit(const ProgramKey& key, const Program& program, const TokenDemand& demand) const -> std::uint64_t;
    auto isStoreAway(const ProgramKey& key) const -> bool;
    /// Whether tokens may be granted that the program's row does not contain. In an outage of the whole store no turn whose history the
    /// hosts keep can end, and grants that only hosts remember would be lost with these, after their tokens have been handed out.
    auto mayGrantUnrecorded(const ProgramKey& key, TurnHistory history) const -> bool;
    /// Whether the store answers for other partitions than that of the program's row.
    auto isAwayAlone(const ProgramKey& key) const -> bool;
    /// Whether it is for this host to write to the program's row what it knows from rows in other partitions.
    auto isToMoveEntries(const ProgramKey& key, const Program& program) const -> bool;
    /// Whether hosts may have granted tokens of the program that neither its row nor a row read from another partition shows.
    auto mayLackGrants(ProgramKey key, ProgramPtr program) -> framework::Async<bool>;
    /// Returns false if the store does not accept writes now.
    auto recordGrants(ProgramKey key, ProgramPtr program) -> framework::Async<bool>;

    framework::asio::any_io_executor m_executor;
    ProgramTable& m_table;
    store::IStore& m_store;
    const store::IStoreStatus& m_storeStatus;
    peers::IPeers& m_peers;
    const framework::IClock& m_clock;
    TokenRequests m_requests;
    AdvanceTokens m_advance;
    HomeWait m_homeWait;
    SpentPrograms m_spent;
    OutageGrantSearch m_grantSearch;
    AlternateGrants m_alternateGrants;
    int m_openTransfers = 0;
    std::size_t m_openReleases = 0;
    bool m_isStopping = false;
    std::map<ProgramKey, RefillState> m_refills;
    std::array<framework::Instant, s_partitionCount> m_claimedAt{}; ///< last claim that began while the store was away
    std::minstd_rand m_random{std::random_device()()};
    TokenTransfers m_transfers;
    std::vector<Cancellation> m_cancellations; ///< that have not been confirmed and are not under way
    std::mt19937_64 m_transferIds{(std::uint64_t{std::random_device()()} << 32U) | std::random_device()()};
};

} // namespace laburnummill::programs
