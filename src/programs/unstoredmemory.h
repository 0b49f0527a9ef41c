#pragma once

#include <cstddef>

namespace laburnummill::programs {

/// Bounds what a host holds in memory for turns that the store does not have: its own turns in each form in which they are held, copies
/// of other hosts' turns, and the calls that write them. Performs no I/O.
class UnstoredMemory
{
public:
    /// `limit`: bytes for own turns and copies.
    explicit UnstoredMemory(std::size_t limit);

    /// Own turns.
    auto add(std::size_t bytes) -> void { m_own += bytes; }
    auto remove(std::size_t bytes) -> void { m_own -= bytes; }

    /// `bytes`: of all copies of other hosts' turns.
    auto setCopies(std::size_t bytes) -> void { m_copies = bytes; }

    /// Bytes of own turns and copies.
    auto held() const -> std::size_t { return m_own + m_copies; }

    /// Whether no further turn may begin.
    auto isFull() const -> bool { return held() > m_limit; }

    /// Whether so much is held that turns which the store has in another partition are not to be held for their own.
    auto isScarce() const -> bool { return held() > m_limit / 2; }

    /// Whether a copy of another host's turn may be taken. Turns that are running when the limit is reached still need copies.
    auto mayTakeCopy(std::size_t bytes) const -> bool;

    /// Whether a further call with this many bytes of rows may begin. One may always: after an outage all partitions return at once, and a
    /// call holds its rows several times, encoded and not.
    auto mayWrite(std::size_t bytes) const -> bool;
    auto beginWrite(std::size_t bytes) -> void { m_writing += bytes; }
    auto endWrite(std::size_t bytes) -> void { m_writing -= bytes; }

private:
    std::size_t m_limit;
    std::size_t m_own = 0;
    std::size_t m_copies = 0;
    std::size_t m_writing = 0; ///< of rows in calls under way
};

} // namespace laburnummill::programs
