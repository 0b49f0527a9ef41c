#pragma once

#include "coordination/coordinationtypes.h"
#include "framework/global/json.h"

#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnummill::coordination {

struct ProtocolRules;

/// A view that was replaced, while leases given under it may still run.
struct EarlierView
{
    std::uint64_t number = 0;
    std::vector<Member> members;
    std::set<MemberId> released; ///< members that gave up their lease when they left

    auto operator==(const EarlierView&) const -> bool = default;
};

/// The members of a data centre by agreement: one row of the table service, changed by transaction on its number.
struct View
{
    std::string dataCentre;
    std::uint64_t number = 0;
    std::vector<Member> members;      ///< in the order of their ids
    std::vector<EarlierView> earlier; ///< not yet known to be settled, oldest first

    auto operator==(const View&) const -> bool = default;

    auto contains(const MemberId& member) const -> bool;
};

using ViewPtr = std::shared_ptr<const View>;

/// Sizes of the two quorums over a view's witnesses: any E and any A of them share one.
struct Quorums
{
    std::size_t promise = 0;     ///< E: leases without the store, fences
    std::size_t acknowledge = 0; ///< A: leases with the store, acknowledgements of the next view
};

/// Up to seven of `members`, chosen by rendezvous hashing on the view's number.
auto witnessesOf(std::uint64_t viewNumber, const std::vector<Member>& members) -> std::vector<Member>;

auto quorumsOf(std::size_t witnesses, const ProtocolRules& rules) -> Quorums;

auto containsMember(const std::vector<Member>& members, const MemberId& member) -> bool;

/// True where another incarnation of the member's host is among `members`: the member's process has ended.
auto hasOtherIncarnation(const std::vector<Member>& members, const MemberId& member) -> bool;

auto toJson(const View& view) -> framework::Json;
auto viewFromJson(const framework::Json& document) -> std::optional<View>;

} // namespace laburnummill::coordination
