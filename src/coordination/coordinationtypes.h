#pragma once

#include "framework/http/httptypes.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnummill::coordination {

/// A daemon's life on a host: a restarted daemon has another incarnation.
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
    framework::Endpoint address; ///< for peers

    auto operator==(const Member&) const -> bool = default;
};

/// What is sharded over the members of a data centre.
enum class ShardKind
{
    Program,
    ClientAccount,
    Pool,
    Fingerprint,
};

auto shardKindName(ShardKind kind) -> std::string_view;

/// One thing that exactly one member of a data centre owns at a time.
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
    std::uint64_t fencing = 0; ///< the view's number; higher after each change of owners

    auto operator==(const Ownership&) const -> bool = default;
};

/// Fencing numbers of one view, one for each place in the rank of its members.
inline constexpr auto s_fencingNumbersPerView = std::uint64_t{1'024};

/// True where nobody else can have owned a shard between two fencing numbers under which the same member owned it:
/// they are of the same view or of one that follows it directly.
constexpr auto isOwnershipContinuous(std::uint64_t earlier, std::uint64_t later) -> bool
{
    return later >= earlier && later / s_fencingNumbersPerView - earlier / s_fencingNumbersPerView <= 1;
}

} // namespace laburnummill::coordination
