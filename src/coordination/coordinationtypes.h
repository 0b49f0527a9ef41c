#pragma once

#include "framework/http/httptypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnummill::coordination {

/// Identifies one run of the daemon on a host: each restart gets a new incarnation.
struct MemberId
{
    std::string host;
    std::uint64_t incarnation = 0;

    auto operator<=>(const MemberId&) const = default;
};

struct Member
{
    MemberId id;
    std::string dataCentre;
    framework::Endpoint address; ///< for messages from peers

    auto operator==(const Member&) const -> bool = default;
};

/// Kinds of objects that are distributed over the members of a data centre.
enum class ShardKind
{
    Program,
    ClientAccount,
    Pool,
    Fingerprint,
};

auto shardKindName(ShardKind kind) -> std::string_view;

/// An object that exactly one member of a data centre owns at a time.
struct ShardKey
{
    ShardKind kind = ShardKind::Program;
    std::string name;
    std::string dataCentre;

    auto operator<=>(const ShardKey&) const = default;
};

struct Ownership
{
    Member owner;
    bool isSelf = false;
    std::uint64_t fencing = 0; ///< view number * `s_fencingNumbersPerView` + owner's rank; rises with each change of owner

    auto operator==(const Ownership&) const -> bool = default;
};

/// Fencing numbers per view: one for each possible rank of a member.
inline constexpr auto s_fencingNumbersPerView = std::uint64_t{1'024};

/// Takes two fencing numbers under which the same member owned a shard. Returns true if no other member can have owned the
/// shard in between: the later number belongs to the same view as the earlier one or to the next view.
constexpr auto isOwnershipContinuous(std::uint64_t earlier, std::uint64_t later) -> bool
{
    return later >= earlier && later / s_fencingNumbersPerView - earlier / s_fencingNumbersPerView <= 1;
}

} // namespace laburnummill::coordination
