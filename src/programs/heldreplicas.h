#pragma once

#include "framework/global/time.h"
#include "programs/turn.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace laburnummill::programs {

/// A turn that this host holds in memory for the host that ran it.
struct HeldReplica
{
    std::string origin; ///< address
    std::uint64_t originIncarnation = 0;
    std::string record;
    ProgramKey program;
    std::uint64_t tokens = 0;
    framework::Instant since{};
    bool isRejected = false; ///< by the store
};

/// The turns that this host holds for others until the store has them, and what is to be done with them. Performs no I/O.
class HeldReplicas
{
public:
    /// Adds a turn; `record` is its encoded form.
    auto hold(const Turn& turn, HeldReplica replica) -> void;

    /// Returns null if it is not held.
    auto find(std::string_view id) const -> const HeldReplica*;

    auto erase(std::string_view id) -> void;

    /// Notes that the store rejects the turn; it stays in memory for turns that continue it.
    auto markRejected(std::string_view id) -> void;

    /// Tokens of a program's turns that are held.
    auto tokens(const ProgramKey& program) const -> std::uint64_t;

    auto count() const -> std::size_t { return m_replicas.size(); }

    /// Of their records.
    auto bytes() const -> std::size_t { return m_bytes; }

    using HasWritten = std::function<bool(const HeldReplica&)>;

    /// Drops the turns that `hasWritten` says their origin has stored, and those older than `retention`.
    auto dropDispensable(const HasWritten& hasWritten, framework::Instant now, framework::Milliseconds retention) -> void;

    /// Ids of the turns that this host is to write itself, as their origin has not done so in time; all of them if this host is stopping.
    auto due(framework::Instant now, bool isStopping) const -> std::vector<std::string>;

private:
    std::map<std::string, HeldReplica, std::less<>> m_replicas;
    std::size_t m_bytes = 0;
};

} // namespace laburnummill::programs
