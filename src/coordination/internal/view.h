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

/// A replaced view under which leases may still be valid.
struct EarlierView
{
    std::uint64_t number = 0;
    std::vector<Member> members;
    std::set<MemberId> released; ///< members that left and gave up their leases

    auto operator==(const EarlierView&) const -> bool = default;
};

/// The agreed members of a data centre. Stored in one row of the table service, which is changed only by transactions that
/// check the row's version.
struct View
{
    std::string dataCentre;
    std::uint64_t number = 0;
    std::vector<Member> members;      ///< sorted by id
    std::vector<EarlierView> earlier; ///< earlier views that are not known to be settled, oldest first

    auto operator==(const View&) const -> bool = default;

    auto contains(const MemberId& member) const -> bool;
};

using ViewPtr = std::shared_ptr<const View>;

/// Sizes of the two quorums of a view's witnesses. Any quorum of size E shares a witness with any quorum of size A.
struct Quorums
{
    std::size_t promise = 0;     ///< E: for leases without the store and for fences
    std::size_t acknowledge = 0; ///< A: for leases with the store and acknowledgements of the next view
};

/// Up to seven of `members`, selected by rendezvous hashing of the view number.
auto witnessesOf(std::uint64_t viewNumber, const std::vector<Member>& members) -> std::vector<Member>;

auto quorumsOf(std::size_t witnesses, const ProtocolRules& rules) -> Quorums;

auto containsMember(const std::vector<Member>& members, const MemberId& member) -> bool;

/// True if `members` contains another incarnation of the member's host, so the process of `member` has ended.
auto hasOtherIncarnation(const std::vector<Member>& members, const MemberId& member) -> bool;

auto toJson(const View& view) -> framework::Json;

/// Returns nullopt if `document` is no object or lacks the data centre or the view number.
auto viewFromJson(const framework::Json& document) -> std::optional<View>;

} // namespace laburnummill::coordination
