#pragma once

#include "coordination/internal/view.h"
#include "framework/global/time.h"

#include <map>
#include <variant>

namespace laburnummill::coordination {

/// Statement that a witness makes no more promises to a member under a view. It cannot be revoked; only the next view ends it.
struct Fence
{
    std::uint64_t view = 0;
    MemberId member;

    auto operator<=>(const Fence&) const = default;
};

/// Renewal of a member's lease; also its heartbeat to the witness.
struct RenewRequest
{
    Member from;
    std::uint64_t sequence = 0; ///< repeated in the answer
    std::uint64_t view = 0;
    bool wantsPromise = true;    ///< false if the member is fenced or leaving
    std::vector<MemberId> fence; ///< members that the witness should fence
    ViewPtr newView;             ///< content of `view`, set in the first renewal under it
};

/// A witness's answer to a renewal.
struct RenewAnswer
{
    MemberId from;
    std::uint64_t sequence = 0;
    std::uint64_t view = 0; ///< latest view of the witness; it makes no promises under earlier ones
    bool promised = false;
    std::vector<Fence> fences;                           ///< under `view` and earlier views that are not settled
    std::vector<MemberId> suspects;                      ///< members without a renewal for `suspicionTimeout`
    std::vector<MemberId> released;                      ///< members that renewed under `view` and thus no longer act under earlier views
    std::optional<framework::Milliseconds> confirmedAgo; ///< time since the store last confirmed `view`
};

/// Sends a view that was written to the store.
struct ViewPush
{
    ViewPtr view;
};

/// Requests all views that are later than the listed ones.
struct ViewDigest
{
    Member from;
    std::map<std::string, std::uint64_t> numbers; ///< view numbers by data centre
};

using LeaseMessage = std::variant<RenewRequest, RenewAnswer, ViewPush, ViewDigest>;

} // namespace laburnummill::coordination
