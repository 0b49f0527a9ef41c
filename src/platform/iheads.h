#pragma once

#include "platform/platformtypes.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace laburnummill::platform {

/// The table of small rows that hold nothing but the version of a larger document: {"version": N}. Whoever writes a
/// document writes its head in the same transaction.
inline constexpr auto s_headsTable = std::string_view("heads");

/// The change that sets the head `name` to `version`.
auto headChange(std::string name, std::uint64_t version) -> RowChange;

/// Reads all watched heads once a second in one request, so that hosts need not read whole documents.
class IHeads
{
public:
    static constexpr std::string_view s_serviceName = "platform.heads";

    virtual ~IHeads() = default;

    /// Calls `handler` after each read that succeeded, with the version that the platform holds; 0 where there is none.
    virtual auto watch(std::string name, std::function<void(std::uint64_t)> handler) -> void = 0;
};

/// Decides when a head calls for reading its document: at once where none is known, otherwise at the second head in a
/// row that is ahead, since a peer mostly brings the document sooner.
class HeadFollower
{
public:
    auto shouldRead(std::uint64_t head, std::uint64_t known) -> bool
    {
        const auto wasAhead = m_ahead;
        m_ahead = head > known;
        return known == 0 || (m_ahead && wasAhead);
    }

private:
    bool m_ahead = false;
};

} // namespace laburnummill::platform
