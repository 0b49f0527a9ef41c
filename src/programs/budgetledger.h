#pragma once

#include "framework/global/async.h"
#include "peers/ipeers.h"
#include "programs/programtable.h"
#include "store/istore.h"

#include <limits>
#include <optional>
#include <random>

namespace laburnummill::programs {

/// Whether a turn may run within its program's budget.
enum class BudgetOutcome
{
    Reserved,
    Spent,  ///< the budget does not hold one more turn
    Unsure, ///< it cannot be told now
};

/// Tokens set aside for a turn. While the store is away these may be fewer than the turn's most; it ends where they do.
struct Reservation
{
    BudgetOutcome outcome = BudgetOutcome::Unsure;
    std::uint64_t tokens = 0;
};

/// Keeps programs within their budgets over all hosts. A host takes tokens from the program's row ahead of what it
/// hands out, so that what was handed out is never more than what the row says, whoever dies. While the store is away
/// tokens are lent without the row, by one host of those that hear each other: one turn's (so much a budget allows beyond
/// it, should all hosts die then), or a quarter of its budget to a program that begins with a large one.
class BudgetLedger
{
public:
    BudgetLedger(framework::asio::any_io_executor executor, ProgramTable& table, store::IStore& store, peers::IPeers& peers,
                 const framework::IClock& clock);

    /// Reserves the `most` tokens that a turn may generate. `isFirstTurn`: the program has no turn before it.
    auto reserve(ProgramKey key, std::uint64_t budget, std::uint64_t most, bool isFirstTurn) -> framework::Async<Reservation>;

    /// Ends a reservation of which `used` tokens were handed out. Returns what is left for the program's home, and is
    /// not counted here any more.
    auto settle(const ProgramKey& key, std::uint64_t reserved, std::uint64_t used) -> std::uint64_t;

    /// Reserves at this home for a turn at another host, and gives the tokens away.
    auto reserveFor(ProgramKey key, std::uint64_t budget, std::uint64_t most, bool isFirstTurn) -> framework::Async<Reservation>;

    /// Tokens that a turn at another host did not use.
    auto takeBack(const ProgramKey& key, std::uint64_t tokens) -> void;

    /// Writes what was lent into the rows of its programs; called about once a second.
    auto recordLent() -> framework::Async<void>;

    /// Gives free tokens of a program to another host.
    auto giveAway(const ProgramKey& key, std::uint64_t most) -> std::uint64_t;

    /// Tokens of turns under way here.
    auto reserved(const ProgramKey& key) const -> std::uint64_t;

    /// Tokens lent here that the program's row does not show yet.
    auto lent(const ProgramKey& key) const -> std::uint64_t;

    /// Tokens of a program's budget that no host has taken, as far as its row is known here.
    auto left(const ProgramKey& key) const -> std::uint64_t;

    /// Whether this host has handed out tokens of the program, or has read its row.
    auto knows(const ProgramKey& key) const -> bool;

private:
    enum class Refill
    {
        Done,
        Exhausted, ///< the row leaves less than is needed
        Contended, ///< other hosts wrote the row first, again and again
        Failed,    ///< the store did not say
    };

    /// What other hosts say of a program.
    struct OtherHolders
    {
        bool isSomeUnderWay = false; ///< some have turns of it under way, and may have tokens left soon
        std::string lender;          ///< one that knows the program and goes before this host where tokens are lent; may be empty
        std::uint64_t left = std::numeric_limits<std::uint64_t>::max(); ///< of the budget, by the newest row that any knows
        std::uint64_t lent = 0;                                         ///< handed out and perhaps not shown by the row
    };

    struct RefillState
    {
        bool isRunning = false;
        Refill last = Refill::Done;
        std::optional<framework::Instant> callBeganAt; ///< of a call to the store under way
    };

    auto reserveHere(ProgramKey key, std::uint64_t budget, std::uint64_t most, bool isFirstTurn, bool isForLender)
        -> framework::Async<Reservation>;
    auto reserveAtHome(ProgramKey key, std::string home, std::uint64_t budget, std::uint64_t most, bool isFirstTurn)
        -> framework::Async<std::optional<Reservation>>;
    auto isInDoubt() const -> bool;
    auto isStoreAway(const ProgramKey& key) -> bool;
    auto startRefill(const ProgramKey& key, const ProgramPtr& program, std::uint64_t most) -> void;
    auto refill(ProgramKey key, ProgramPtr program, std::uint64_t most) -> framework::Async<Refill>;
    static auto ahead(const Program& program, std::uint64_t left, std::uint64_t most) -> std::uint64_t;
    /// Tokens that another host may have lent and not yet recorded.
    auto possiblyLent(ProgramKey key, ProgramPtr program, std::uint64_t most) -> framework::Async<std::uint64_t>;
    auto writeRow(ProgramKey key, ProgramPtr program, std::uint64_t tokens) -> framework::AsyncResult<bool>;
    auto readRow(ProgramKey key, ProgramPtr program) -> framework::Async<bool>;
    auto askOthers(ProgramKey key, ProgramPtr program, std::uint64_t need) -> framework::Async<OtherHolders>;
    auto lend(const ProgramKey& key, Program& program, std::uint64_t most, bool isFirstTurn, const OtherHolders& others) -> Reservation;
    auto lendingLimit(const Program& program, std::uint64_t most) const -> std::uint64_t;

    framework::asio::any_io_executor m_executor;
    ProgramTable& m_table;
    store::IStore& m_store;
    peers::IPeers& m_peers;
    const framework::IClock& m_clock;
    std::map<ProgramKey, RefillState> m_refills;
    bool m_isStoreSlow = false;
    std::minstd_rand m_random{std::random_device()()};
};

} // namespace laburnummill::programs
