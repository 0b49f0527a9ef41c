#pragma once

#include <cstddef>
#include <cstdint>

namespace laburnummill::scheduling {

/// What becomes of a caller's new connection.
enum class ConnectionDecision
{
    Accept,
    Replace, ///< a connection that no request needs is closed for it: the one that has not been needed for the longest time
    Reject,  ///< closed unread, so that the caller may go to another host at once
};

/// Number of connections that a host accepts. Descriptors are reserved for what serving them needs: connections to backend
/// servers, to the store and to other hosts, and the readiness probe. So is memory.
class ConnectionLimit
{
public:
    /// `descriptors`: that the process may have; `memoryBytes`: of the host, 0 if not known.
    ConnectionLimit(std::uint64_t descriptors, std::uint64_t memoryBytes);

    /// Callers' connections.
    auto maxCallers() const -> std::size_t { return m_maxCallers; }

    /// Connections of other hosts.
    auto maxHosts() const -> std::size_t { return m_maxHosts; }

    /// `open`: callers' connections, `replaceable`: those of them that no request needs; both without the new one.
    auto decide(std::size_t open, std::size_t replaceable) const -> ConnectionDecision;

private:
    std::size_t m_maxCallers;
    std::size_t m_maxHosts;
};

} // namespace laburnummill::scheduling
