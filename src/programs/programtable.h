#pragma once

#include "framework/global/iclock.h"
#include "framework/global/signal.h"
#include "programs/tokenholding.h"
#include "programs/turn.h"
#include "programs/turnrecords.pb.h"
#include "store/storetypes.h"

#include <map>
#include <memory>

namespace laburnummill::programs {

/// A program as this host knows it.
struct Program
{
    explicit Program(framework::asio::any_io_executor executor)
        : changed(std::move(executor))
    {}

    std::uint64_t budget = 0;
    TokenHolding holding;
    records::ProgramRecord row; ///< as read or written last
    std::uint64_t rowVersion = store::s_absentRow;
    bool isRowKnown = false;
    bool isRowBeingWritten = false;
    std::uint64_t lent = 0;          ///< granted here while the store was away, not yet in the row
    std::uint64_t doubtfulEntry = 0; ///< of a write whose answer was lost: what our entry would say
    std::uint64_t wanted = 0;        ///< tokens that turns wait for
    framework::Instant usedAt{};
    framework::Signal changed;
};

using ProgramPtr = std::shared_ptr<Program>;

/// A write of a program's row that takes `tokens` more for this host.
struct RowChange
{
    store::Condition condition;
    store::Put put;
    records::ProgramRecord row;
    std::uint64_t tokens = 0;
};

/// The programs that this host works for, and what their rows say. Holds no socket.
class ProgramTable
{
public:
    ProgramTable(framework::asio::any_io_executor executor, const framework::IClock& clock, std::string host, std::uint64_t incarnation);

    /// The program, made known where it was not.
    auto program(const ProgramKey& key) -> ProgramPtr;

    /// Null where this host has not worked for it.
    auto find(const ProgramKey& key) const -> ProgramPtr;

    /// Tokens of the budget that no host has taken yet, as far as the row is known.
    auto left(const Program& program) const -> std::uint64_t;

    /// The write that takes `tokens` more, and records what was lent.
    auto change(const ProgramKey& key, const Program& program, std::uint64_t tokens) const -> RowChange;

    auto applied(Program& program, RowChange change, std::uint64_t version) const -> void;

    /// The row is another than was expected; null where there is none.
    auto conflicted(Program& program, const store::Row* row) const -> void;

    /// Whether the write took effect cannot be told.
    auto doubtful(Program& program, const RowChange& change) const -> void;

    /// Whether other hosts hold tokens of it.
    auto isHeldElsewhere(const Program& program) const -> bool;

    /// Programs of which tokens were lent that their rows do not show.
    auto unrecorded() const -> std::vector<std::pair<ProgramKey, ProgramPtr>>;

    /// Forgets programs that were not used for long.
    auto forget() -> void;

    auto size() const -> std::size_t { return m_programs.size(); }

    static auto rowOf(const ProgramKey& key) -> store::RowAddress;

private:
    auto ownEntry(const Program& program) const -> std::uint64_t;
    auto isOwn(const records::Holding& holding) const -> bool;

    framework::asio::any_io_executor m_executor;
    const framework::IClock& m_clock;
    std::string m_host;
    std::uint64_t m_incarnation;
    std::map<ProgramKey, ProgramPtr> m_programs;
};

} // namespace laburnummill::programs
