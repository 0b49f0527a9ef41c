#pragma once

#include "framework/global/async.h"
#include "framework/global/iclock.h"
#include "framework/global/signal.h"
#include "peers/ipeers.h"
#include "programs/turnrecords.pb.h"
#include "store/istore.h"

#include <map>
#include <memory>
#include <string>

namespace laburnummill::programs {

/// Whether a turn may generate its most tokens within its program's budget.
enum class BudgetOutcome
{
    Reserved,
    Spent,  ///< the budget does not hold one more turn
    Unsure, ///< it cannot be told now
};

/// Names a program of a client account.
struct ProgramKey
{
    std::string account;
    std::string program;

    auto operator<=>(const ProgramKey&) const = default;
};

/// The tokens that one host may hand out for one program. Pure counting.
class TokenHolding
{
public:
    auto granted() const -> std::uint64_t { return m_granted; }
    auto spent() const -> std::uint64_t { return m_spent; }
    auto reserved() const -> std::uint64_t { return m_reserved; }
    auto free() const -> std::uint64_t { return m_granted - m_spent - m_reserved; }

    auto grant(std::uint64_t tokens) -> void { m_granted += tokens; }
    auto reserve(std::uint64_t tokens) -> bool;

    /// Ends a reservation of `reserved` tokens of which `used` were handed out.
    auto settle(std::uint64_t reserved, std::uint64_t used) -> void;

    /// Gives up what is free, at most `tokens`; returns how much that was.
    auto release(std::uint64_t tokens) -> std::uint64_t;

private:
    std::uint64_t m_granted = 0;
    std::uint64_t m_spent = 0;
    std::uint64_t m_reserved = 0;
};

/// Keeps programs within their budgets over all hosts. A host takes tokens from the program's row ahead of what it
/// hands out, so that what was handed out is never more than what the row says, whoever dies.
class BudgetLedger
{
public:
    BudgetLedger(framework::asio::any_io_executor executor, store::IStore& store, peers::IPeers& peers, const framework::IClock& clock,
                 std::string host, std::uint64_t incarnation);

    /// Reserves the `most` tokens that a turn may generate. `isFirstTurn`: the program has no turn before it.
    auto reserve(ProgramKey key, std::uint64_t budget, std::uint64_t most, bool isFirstTurn) -> framework::Async<BudgetOutcome>;

    /// Ends a reservation; takes the next tokens ahead where too few are left for another turn.
    auto settle(const ProgramKey& key, std::uint64_t most, std::uint64_t used) -> void;

    /// Gives free tokens of a program to another host; `mayBorrow` takes more from the rest of the budget.
    auto giveAway(const ProgramKey& key, std::uint64_t most, bool mayBorrow) -> std::uint64_t;

    /// Tokens of turns under way here.
    auto reserved(const ProgramKey& key) const -> std::uint64_t;

    /// Whether this host has handed out tokens of the program, or has read its row.
    auto knows(const ProgramKey& key) const -> bool;

    /// Forgets programs that were not used for long.
    auto forget() -> void;

    auto programs() const -> std::size_t { return m_programs.size(); }

private:
    enum class Refill
    {
        Done,
        Exhausted, ///< the row leaves less than is needed
        Failed,    ///< the store did not say
    };

    struct Program
    {
        explicit Program(framework::asio::any_io_executor executor)
            : changed(std::move(executor))
        {}

        std::uint64_t budget = 0;
        TokenHolding holding;
        records::ProgramRecord row; ///< as read or written last
        std::uint64_t rowVersion = 0;
        bool isRowKnown = false;
        std::uint64_t unrecorded = 0;     ///< borrowed: granted here and not yet in the row
        std::uint64_t doubtfulGrant = 0;  ///< of a write whose answer was lost
        bool isForgotten = false;         ///< nobody knows what was spent before; no more is lent without the row
        bool isRefilling = false;
        Refill lastRefill = Refill::Done;
        framework::Instant usedAt{};
        framework::Signal changed;
    };
    using ProgramPtr = std::shared_ptr<Program>;

    auto program(const ProgramKey& key) -> ProgramPtr;
    auto startRefill(const ProgramKey& key, const ProgramPtr& program, std::uint64_t most) -> void;
    auto refill(ProgramKey key, ProgramPtr program, std::uint64_t need, std::uint64_t ahead) -> framework::Async<Refill>;
    auto readRow(ProgramKey key, ProgramPtr program) -> framework::Async<bool>;
    auto takeRow(const ProgramPtr& program, const store::Row* row) -> void;
    auto grownRow(const ProgramKey& key, const Program& program, std::uint64_t want) const -> records::ProgramRecord;
    auto recall(ProgramKey key, ProgramPtr program, std::uint64_t need) -> framework::Async<std::uint64_t>;
    auto borrow(ProgramKey key, ProgramPtr program, std::uint64_t most, bool isFirstTurn) -> framework::Async<bool>;
    auto borrowHere(Program& program, std::uint64_t need) -> bool;

    framework::asio::any_io_executor m_executor;
    store::IStore& m_store;
    peers::IPeers& m_peers;
    const framework::IClock& m_clock;
    std::string m_host;
    std::uint64_t m_incarnation;
    std::map<ProgramKey, ProgramPtr> m_programs;
    bool m_isStoreSlow = false;
};

} // namespace laburnummill::programs
