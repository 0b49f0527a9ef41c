#include "accounts/internal/limitgroup.h"

#include <algorithm>

namespace laburnummill::accounts {

using framework::Instant;
using framework::Microseconds;
using framework::Milliseconds;

namespace {

constexpr auto s_maxPlacements = std::size_t{8};
constexpr auto s_unreachableRetry = Milliseconds(200);

auto refusal(Microseconds retryAfter) -> TakeOutcome
{
    return {TakeKind::Refused, std::max(Milliseconds(1), std::chrono::ceil<Milliseconds>(retryAfter)), {}};
}

} // namespace

LimitGroup::LimitGroup(std::string dataCentre, GrantTerms terms, Instant startedAt)
    : m_dataCentre(std::move(dataCentre))
    , m_terms(terms)
    , m_startedAt(startedAt)
    , m_placement(std::make_shared<const AccountPlacement>(DataCentreSet{{m_dataCentre}, {m_dataCentre}}))
{}

auto LimitGroup::HeldGrant::covers(const std::string& account, const std::string& holder) const -> bool
{
    return placement->home(account) == holder && std::ranges::find(pending, account) == pending.end();
}

auto LimitGroup::placementOf(const DataCentreSet& dataCentres) -> std::shared_ptr<const AccountPlacement>
{
    const auto found = m_placements.find(dataCentres);
    if (found != m_placements.end()) {
        return found->second;
    }
    if (m_placements.size() >= s_maxPlacements) {
        m_placements.clear();
    }
    return m_placements.emplace(dataCentres, std::make_shared<const AccountPlacement>(dataCentres)).first->second;
}

auto LimitGroup::configure(const std::vector<AccountLimit>& limits, const DataCentreSet& dataCentres, Instant now) -> void
{
    const auto before = m_placement;
    m_placement = placementOf(dataCentres);
    auto kept = std::map<std::string, Account>();
    for (const auto& limit : limits) {
        const auto found = m_accounts.find(limit.account);
        auto account = Account();
        account.advancedTo = now;
        if (found != m_accounts.end()) {
            account = std::move(found->second);
            advance(account, now);
        }
        const auto& oldHome = before->home(limit.account);
        if (oldHome != m_placement->home(limit.account) && oldHome != m_dataCentre) {
            account.ownShareUsableFrom = std::max(account.ownShareUsableFrom, grantedUntil(oldHome));
        }
        account.limit = limit;
        kept[limit.account] = std::move(account);
    }
    m_accounts = std::move(kept);
}

auto LimitGroup::isHome(const std::string& account) const -> bool
{
    return m_placement->home(account) == m_dataCentre;
}

auto LimitGroup::grantedUntil(const std::string& holder) const -> Instant
{
    const auto unknownGrantsEnd = m_startedAt + m_terms.term + m_terms.drift;
    const auto found = m_grantedUntil.find(holder);
    return found == m_grantedUntil.end() ? unknownGrantsEnd : found->second;
}

auto LimitGroup::usableShare(const Account& account, Instant now) const -> double
{
    const auto& name = account.limit.account;
    const auto shareOf = [&](const std::string& dataCentre) { return m_placement->share(name, dataCentre, account.limit.burst); };
    if (!isHome(name)) {
        const auto isGranted = now < std::max(grantedUntil(m_placement->home(name)), account.ownShareUsableFrom);
        return isGranted ? 0 : shareOf(m_dataCentre);
    }
    //! NOTE A grantor's share is usable only if this data centre is the account's home by the grantor's list too.
    auto share = now < account.ownShareUsableFrom ? 0 : shareOf(m_dataCentre);
    for (const auto& [grantor, grant] : m_heldGrants) {
        if (now < grant.until && grant.covers(name, m_dataCentre)) {
            share += shareOf(grantor);
        }
    }
    return share;
}

auto LimitGroup::shareChangeTimes(const Account& account, Instant from, Instant to) const -> std::set<Instant>
{
    auto times = std::set<Instant>();
    const auto add = [&](Instant time) {
        if (time > from && time < to) {
            times.insert(time);
        }
    };
    add(account.ownShareUsableFrom);
    if (isHome(account.limit.account)) {
        for (const auto& [grantor, grant] : m_heldGrants) {
            add(grant.until);
        }
    } else {
        add(grantedUntil(m_placement->home(account.limit.account)));
    }
    return times;
}

auto LimitGroup::setShare(Account& account, double share, Instant now) -> void
{
    if (share <= 0) {
        account.bucket.reset();
        return;
    }
    const auto rate = account.limit.ratePerSecond * share;
    const auto burst = account.limit.burst * share;
    if (!account.bucket) {
        account.bucket.emplace(rate, burst, 0, now);
        return;
    }
    account.bucket->change(rate, burst, now);
}

auto LimitGroup::advance(Account& account, Instant now) -> void
{
    //! NOTE If a share ended between two requests, it counts only up to its end. After that, the bucket must not be filled at
    //! the old rate.
    if (now < account.advancedTo || (now == account.advancedTo && account.bucket)) {
        return;
    }
    auto times = shareChangeTimes(account, account.advancedTo, now);
    times.insert(account.advancedTo);
    times.insert(now);
    for (const auto time : times) {
        setShare(account, usableShare(account, time), time);
    }
    account.advancedTo = now;
}

auto LimitGroup::takeFromBucket(Account& account, Instant now) -> TakeOutcome
{
    advance(account, now);
    if (m_handedOver || !account.bucket) {
        return refusal(m_terms.renewal);
    }
    if (account.bucket->take(now)) {
        return {TakeKind::Granted, Milliseconds(0), {}};
    }
    return refusal(account.bucket->timeToNext(now));
}

auto LimitGroup::take(const std::string& account, Instant now) -> TakeOutcome
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return refusal(m_terms.renewal);
    }
    if (isHome(account) || usableShare(found->second, now) > 0) {
        return takeFromBucket(found->second, now);
    }
    if (now < found->second.refusedUntil) {
        return refusal(found->second.refusedUntil - now);
    }
    return {TakeKind::ForwardToHome, Milliseconds(0), m_placement->home(account)};
}

auto LimitGroup::takeAsHome(const std::string& account, Instant now) -> TakeOutcome
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end() || !isHome(account)) {
        return refusal(m_terms.renewal);
    }
    return takeFromBucket(found->second, now);
}

auto LimitGroup::recordRefusal(const std::string& account, Milliseconds retryAfter, Instant now) -> void
{
    if (const auto found = m_accounts.find(account); found != m_accounts.end()) {
        found->second.refusedUntil = now + retryAfter;
    }
}

auto LimitGroup::refuseHomeUnreachable(const std::string& account, Instant now) const -> TakeOutcome
{
    const auto until = grantedUntil(m_placement->home(account));
    return refusal(until > now ? until - now : Microseconds(s_unreachableRetry));
}

auto LimitGroup::giveBack(const std::string& account, Instant now) -> void
{
    const auto found = m_accounts.find(account);
    if (found == m_accounts.end()) {
        return;
    }
    advance(found->second, now);
    if (found->second.bucket) {
        found->second.bucket->giveBack(now);
    }
}

auto LimitGroup::grantorsToRenew(Instant now) -> std::vector<std::string>
{
    auto grantors = std::vector<std::string>();
    for (const auto& dataCentre : m_placement->dataCentres().all) {
        const auto requested = m_requestedAt.find(dataCentre);
        const auto isDue = requested == m_requestedAt.end() || now - requested->second >= m_terms.renewal;
        if (dataCentre != m_dataCentre && isDue && !m_handedOver) {
            m_requestedAt[dataCentre] = now;
            grantors.push_back(dataCentre);
        }
    }
    return grantors;
}

auto LimitGroup::grantShare(const std::string& holder, Instant now) -> GrantReply
{
    auto reply = GrantReply{false, m_placement->dataCentres().active, {}};
    const auto isActive = std::ranges::find(reply.active, holder) != reply.active.end();
    if (m_handedOver || holder == m_dataCentre || !isActive) {
        return reply;
    }
    for (auto& [name, account] : m_accounts) {
        if (m_placement->home(name) != holder) {
            continue;
        }
        account.bucket.reset();
        account.advancedTo = std::max(account.advancedTo, now);
        if (now < account.ownShareUsableFrom) {
            reply.pending.push_back(name);
        }
    }
    reply.granted = true;
    m_grantedUntil[holder] = std::max(grantedUntil(holder), now + m_terms.term + m_terms.drift);
    return reply;
}

auto LimitGroup::acceptGrant(const std::string& grantor, const GrantReply& reply, Instant sentAt, Instant now) -> void
{
    if (!reply.granted || m_handedOver) {
        return;
    }
    auto& grant = m_heldGrants[grantor];
    const auto until = sentAt + m_terms.term;
    auto placement = placementOf({m_placement->dataCentres().all, reply.active});
    const auto isRenewal = now < grant.until && grant.placement == placement && grant.pending == reply.pending;
    if (until <= grant.until) {
        return;
    }
    //! NOTE A renewal does not change any share. Any other grant changes shares at once, so buckets are first filled at the
    //! old rate up to now.
    if (!isRenewal) {
        for (auto& [name, account] : m_accounts) {
            if (isHome(name)) {
                advance(account, now);
            }
        }
    }
    grant = {until, std::move(placement), reply.pending};
}

auto LimitGroup::heldGrantCount(Instant now) const -> std::size_t
{
    return static_cast<std::size_t>(std::ranges::count_if(m_heldGrants, [now](const auto& entry) { return now < entry.second.until; }));
}

auto LimitGroup::handOver(Instant now) -> LimitGroupState
{
    auto state = LimitGroupState();
    for (auto& [name, account] : m_accounts) {
        advance(account, now);
        if (account.bucket) {
            state.tokens[name] = account.bucket->tokens(now);
        }
    }
    for (const auto& dataCentre : m_placement->dataCentres().all) {
        const auto until = grantedUntil(dataCentre);
        state.grantedFor[dataCentre] = std::max(Microseconds(0), until - now);
    }
    for (const auto& [grantor, grant] : m_heldGrants) {
        if (grant.until > now) {
            state.heldFor[grantor] = grant.until - now;
        }
    }
    m_handedOver = true;
    return state;
}

auto LimitGroup::adopt(const LimitGroupState& state, Instant now) -> void
{
    for (const auto& [holder, remaining] : state.grantedFor) {
        m_grantedUntil[holder] = now + remaining + m_terms.drift;
    }
    for (const auto& [grantor, remaining] : state.heldFor) {
        m_heldGrants[grantor] = {now + remaining - m_terms.drift, m_placement, {}};
    }
    for (const auto& [name, tokens] : state.tokens) {
        const auto found = m_accounts.find(name);
        const auto share = found == m_accounts.end() ? 0.0 : usableShare(found->second, now);
        if (share > 0) {
            const auto& limit = found->second.limit;
            found->second.bucket.emplace(limit.ratePerSecond * share, limit.burst * share, tokens, now);
            found->second.advancedTo = now;
        }
    }
}

} // namespace laburnummill::accounts
