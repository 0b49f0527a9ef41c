#include "accounts/internal/limitrouter.h"

#include "accounts/limitmessages.pb.h"
#include "coordination/rendezvous.h"
#include "framework/global/asyncqueue.h"
#include "framework/global/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace laburnummill::accounts {

using framework::Async;
using framework::AsyncResult;
using framework::IPeerResponder;
using framework::Microseconds;
using framework::Milliseconds;
using framework::RpcError;

namespace {

constexpr auto s_topic = std::string_view("accounts.limits");
constexpr auto s_groups = std::uint32_t{16};
constexpr auto s_requestTimeout = Milliseconds(500);
constexpr auto s_ownerTimeout = Milliseconds(1'500);
constexpr auto s_retryStep = Milliseconds(50);
constexpr auto s_handOverValidFor = Milliseconds(10'000);

auto groupOf(const std::string& account) -> std::uint32_t
{
    return static_cast<std::uint32_t>(framework::hash64(account) % s_groups);
}

auto shardOf(std::uint32_t group, const std::string& dataCentre) -> coordination::ShardKey
{
    return {coordination::ShardKind::ClientAccount, "limits-" + std::to_string(group), dataCentre};
}

auto makeReply(LimitReply::Kind kind, Milliseconds retryAfter = Milliseconds(0)) -> LimitReply
{
    auto message = LimitReply();
    message.set_kind(kind);
    message.set_retry_after_ms(static_cast<std::uint64_t>(retryAfter.count()));
    return message;
}

auto toReply(const TakeOutcome& outcome, const std::string& dataCentre) -> LimitReply
{
    if (outcome.kind != TakeKind::Granted) {
        return makeReply(LimitReply::KIND_REFUSED, outcome.retryAfter);
    }
    auto message = makeReply(LimitReply::KIND_GRANTED);
    message.set_granted_by(dataCentre);
    return message;
}

auto makeRequest(LimitRequest::Kind kind, std::uint32_t group, std::string account) -> LimitRequest
{
    auto message = LimitRequest();
    message.set_kind(kind);
    message.set_group(group);
    message.set_account(std::move(account));
    return message;
}

auto toMessage(const LimitGroupState& state) -> GroupState
{
    auto message = GroupState();
    message.mutable_tokens()->insert(state.tokens.begin(), state.tokens.end());
    for (const auto& [name, time] : state.grantedFor) {
        (*message.mutable_lent_for_us())[name] = static_cast<std::uint64_t>(time.count());
    }
    for (const auto& [name, time] : state.heldFor) {
        (*message.mutable_borrowed_for_us())[name] = static_cast<std::uint64_t>(time.count());
    }
    return message;
}

auto fromMessage(const GroupState& message) -> LimitGroupState
{
    auto state = LimitGroupState();
    state.tokens.insert(message.tokens().begin(), message.tokens().end());
    for (const auto& [name, time] : message.lent_for_us()) {
        state.grantedFor[name] = Microseconds(static_cast<std::int64_t>(time));
    }
    for (const auto& [name, time] : message.borrowed_for_us()) {
        state.heldFor[name] = Microseconds(static_cast<std::int64_t>(time));
    }
    return state;
}

auto limitsOf(const configuration::Configuration& configuration, std::uint32_t group) -> std::vector<AccountLimit>
{
    auto limits = std::vector<AccountLimit>();
    for (const auto& account : configuration.clientAccounts) {
        if (groupOf(account.name) == group) {
            limits.push_back({account.name, account.ratePerSecond, account.burst});
        }
    }
    return limits;
}

auto dataCentresOf(const configuration::Configuration& configuration) -> DataCentreSet
{
    auto dataCentres = DataCentreSet();
    for (const auto& dataCentre : configuration.dataCentres) {
        dataCentres.all.push_back(dataCentre.name);
        if (!dataCentre.drained) {
            dataCentres.active.push_back(dataCentre.name);
        }
    }
    return dataCentres;
}

} // namespace

LimitRouter::LimitRouter(LimitServices services, GrantTerms terms)
    : m_services(std::move(services))
    , m_terms(terms)
    , m_startedAt(m_services.clock->now())
{}

auto LimitRouter::serve() -> void
{
    m_services.peers->serve(std::string(s_topic),
                            [weak = weak_from_this()](std::string payload, std::shared_ptr<IPeerResponder> responder) -> Async<void> {
                                const auto self = weak.lock();
                                auto message = LimitRequest();
                                if (!self || !message.ParseFromString(payload)) {
                                    responder->fail(RpcError::Malformed);
                                    co_return;
                                }
                                responder->write((co_await self->handleRequest(std::move(message))).SerializeAsString());
                                responder->end();
                            });
}

auto LimitRouter::ownedGroup(std::uint32_t number) -> std::shared_ptr<LimitGroup>
{
    const auto mayAct = m_services.shards->mayAct(shardOf(number, m_services.membership->self().dataCentre));
    const auto found = m_owned.find(number);
    if (!mayAct) {
        if (found != m_owned.end()) {
            m_owned.erase(found);
        }
        return nullptr;
    }
    const auto now = m_services.clock->now();
    //! NOTE If this host owned the group in consecutive views, no other host owned it in between. After any other gap its
    //! earlier state is discarded.
    const auto isContinuous = found != m_owned.end() && coordination::isOwnershipContinuous(found->second.fencing, mayAct.value());
    auto& owned = m_owned[number];
    if (!isContinuous) {
        owned = {std::make_shared<LimitGroup>(m_services.membership->self().dataCentre, m_terms, now), mayAct.value(), 0};
        configure(owned, number, now);
        const auto received = m_received.find(number);
        if (received != m_received.end() && now - received->second.at < s_handOverValidFor) {
            owned.group->adopt(received->second.state, now);
        }
        m_received.erase(number);
        m_services.metrics->count("limit_groups_taken_over_total");
    }
    owned.fencing = mayAct.value();
    configure(owned, number, now);
    return owned.group;
}

auto LimitRouter::configure(OwnedGroup& owned, std::uint32_t number, framework::Instant now) -> void
{
    const auto current = m_services.configuration->current();
    if (current && current->version != owned.configuration) {
        owned.configuration = current->version;
        owned.group->configure(limitsOf(*current, number), dataCentresOf(*current), now);
    }
}

auto LimitRouter::send(std::string dataCentre, LimitRequest message) -> AsyncResult<LimitReply>
{
    BOOST_OUTCOME_CO_TRY(const auto ownership, m_services.shards->ownerOf(shardOf(message.group(), dataCentre)));
    if (ownership.isSelf) {
        co_return co_await handleRequest(std::move(message));
    }
    m_services.metrics->count("limit_messages_total");
    BOOST_OUTCOME_CO_TRY(const auto text, co_await m_services.peers->request(ownership.owner.address, s_topic, message.SerializeAsString(),
                                                                             s_requestTimeout));
    auto response = LimitReply();
    if (!response.ParseFromString(text)) {
        co_return RpcError::Malformed;
    }
    if (response.kind() != LimitReply::KIND_NOT_OWNER) {
        m_reachedDataCentres.insert(dataCentre);
    }
    co_return response;
}

auto LimitRouter::isReady() const -> bool
{
    const auto current = m_services.configuration->current();
    if (!current || !m_areOwnersKnown) {
        return false;
    }
    //! NOTE After this time, every grant that this host's data centre made before this host started has expired.
    if (m_services.clock->now() - m_startedAt > m_terms.term + m_terms.drift + m_terms.renewal) {
        return true;
    }
    const auto& self = m_services.membership->self().dataCentre;
    const auto active = dataCentresOf(*current).active;
    return std::ranges::all_of(active, [&](const auto& name) { return name == self || m_reachedDataCentres.contains(name); });
}

auto LimitRouter::take(std::string account) -> Async<TakeResult>
{
    const auto current = m_services.configuration->current();
    if (!current || current->clientAccount(account) == nullptr) {
        co_return RateRefusal{AccountError::AccountUnknown, Milliseconds(0)};
    }
    const auto& dataCentre = m_services.membership->self().dataCentre;
    for (auto waited = Milliseconds(0); waited < s_ownerTimeout; waited += s_retryStep) {
        const auto response = co_await send(dataCentre, makeRequest(LimitRequest::KIND_TAKE, groupOf(account), account));
        //! NOTE A request whose reply was lost may have taken a token. A retry can cost the account one token too many but never
        //! grants one too many.
        if (response && response.value().kind() == LimitReply::KIND_GRANTED) {
            co_return Token{account, response.value().granted_by()};
        }
        if (response && response.value().kind() == LimitReply::KIND_REFUSED) {
            m_services.metrics->count("rate_refusals_total");
            co_return RateRefusal{AccountError::RateExceeded, Milliseconds(static_cast<std::int64_t>(response.value().retry_after_ms()))};
        }
        co_await framework::sleepFor(s_retryStep);
    }
    co_return RateRefusal{AccountError::LimitsUnavailable, m_terms.renewal};
}

auto LimitRouter::takeAtOwner(std::uint32_t number, std::string account) -> Async<LimitReply>
{
    const auto group = ownedGroup(number);
    if (!group) {
        co_return makeReply(LimitReply::KIND_NOT_OWNER);
    }
    const auto outcome = group->take(account, m_services.clock->now());
    if (outcome.kind != TakeKind::ForwardToHome) {
        co_return toReply(outcome, m_services.membership->self().dataCentre);
    }
    co_return co_await forwardToHome(group, number, std::move(account), outcome.home);
}

auto LimitRouter::forwardToHome(std::shared_ptr<LimitGroup> group, std::uint32_t number, std::string account, std::string home)
    -> Async<LimitReply>
{
    const auto response = co_await send(home, makeRequest(LimitRequest::KIND_TAKE_AS_HOME, number, account));
    const auto now = m_services.clock->now();
    if (!response || response.value().kind() == LimitReply::KIND_NOT_OWNER) {
        m_services.metrics->count("limit_home_unreachable_total");
        const auto own = group->take(account, now);
        co_return toReply(own.kind == TakeKind::ForwardToHome ? group->refuseHomeUnreachable(account, now) : own,
                          m_services.membership->self().dataCentre);
    }
    if (response.value().kind() == LimitReply::KIND_REFUSED) {
        group->recordRefusal(account, Milliseconds(static_cast<std::int64_t>(response.value().retry_after_ms())), now);
    }
    co_return response.value();
}

auto LimitRouter::handleRequest(LimitRequest message) -> Async<LimitReply>
{
    if (message.kind() == LimitRequest::KIND_TAKE) {
        co_return co_await takeAtOwner(message.group(), message.account());
    }
    if (message.kind() == LimitRequest::KIND_HAND_OVER) {
        m_received[message.group()] = {fromMessage(message.state()), m_services.clock->now()};
        co_return makeReply(LimitReply::KIND_GRANTED);
    }
    if (message.kind() == LimitRequest::KIND_LEND) {
        co_return handleGrantRequest(message);
    }
    const auto group = ownedGroup(message.group());
    if (!group) {
        co_return makeReply(LimitReply::KIND_NOT_OWNER);
    }
    const auto now = m_services.clock->now();
    if (message.kind() == LimitRequest::KIND_GIVE_BACK) {
        group->giveBack(message.account(), now);
        co_return makeReply(LimitReply::KIND_GRANTED);
    }
    co_return toReply(group->takeAsHome(message.account(), now), m_services.membership->self().dataCentre);
}

auto LimitRouter::handleGrantRequest(const LimitRequest& message) -> LimitReply
{
    const auto group = ownedGroup(message.group());
    if (!group) {
        return makeReply(LimitReply::KIND_NOT_OWNER);
    }
    const auto grant = group->grantShare(message.data_centre(), m_services.clock->now());
    auto response = makeReply(grant.granted ? LimitReply::KIND_GRANTED : LimitReply::KIND_REFUSED);
    response.mutable_active()->Assign(grant.active.begin(), grant.active.end());
    response.mutable_pending()->Assign(grant.pending.begin(), grant.pending.end());
    return response;
}

auto LimitRouter::giveBack(const Token& token) -> void
{
    if (token.account.empty()) {
        return;
    }
    const auto sending = [](std::shared_ptr<LimitRouter> self, std::string dataCentre, LimitRequest sent) -> Async<void> {
        (void)co_await self->send(std::move(dataCentre), std::move(sent));
    };
    auto message = makeRequest(LimitRequest::KIND_GIVE_BACK, groupOf(token.account), token.account);
    framework::asio::co_spawn(m_services.peers->executor(), sending(shared_from_this(), token.grantedBy, std::move(message)),
                              framework::asio::detached);
}

auto LimitRouter::renewGrants() -> void
{
    const auto& dataCentre = m_services.membership->self().dataCentre;
    m_areOwnersKnown = m_services.configuration->current() != nullptr;
    for (auto number = std::uint32_t{0}; number < s_groups; ++number) {
        const auto group = ownedGroup(number);
        const auto ownership = m_services.shards->ownerOf(shardOf(number, dataCentre));
        m_areOwnersKnown = m_areOwnersKnown && ownership && (group || !ownership.value().isSelf);
        if (!group) {
            continue;
        }
        for (const auto& grantor : group->grantorsToRenew(m_services.clock->now())) {
            framework::asio::co_spawn(m_services.peers->executor(), renewGrant(group, number, grantor), framework::asio::detached);
        }
    }
}

auto LimitRouter::renewGrant(std::shared_ptr<LimitGroup> group, std::uint32_t number, std::string grantor) -> Async<void>
{
    const auto self = shared_from_this();
    const auto sentAt = m_services.clock->now();
    auto message = makeRequest(LimitRequest::KIND_LEND, number, {});
    message.set_data_centre(m_services.membership->self().dataCentre);
    const auto response = co_await send(grantor, std::move(message));
    if (!response || response.value().kind() != LimitReply::KIND_GRANTED) {
        co_return;
    }
    auto grant = GrantReply{true, {}, {}};
    grant.active.assign(response.value().active().begin(), response.value().active().end());
    grant.pending.assign(response.value().pending().begin(), response.value().pending().end());
    group->acceptGrant(grantor, grant, sentAt, m_services.clock->now());
}

auto LimitRouter::nextOwner(std::uint32_t number) const -> std::optional<coordination::Member>
{
    const auto& self = m_services.membership->self();
    for (const auto& member :
         coordination::rankByRendezvous(shardOf(number, self.dataCentre), m_services.membership->members(self.dataCentre))) {
        if (member.id != self.id) {
            return member;
        }
    }
    return std::nullopt;
}

auto LimitRouter::handOverAll() -> Async<void>
{
    const auto self = shared_from_this();
    for (auto number = std::uint32_t{0}; number < s_groups; ++number) {
        const auto group = ownedGroup(number);
        const auto next = nextOwner(number);
        if (!group || !next) {
            continue;
        }
        auto message = makeRequest(LimitRequest::KIND_HAND_OVER, number, {});
        *message.mutable_state() = toMessage(group->handOver(m_services.clock->now()));
        (void)co_await m_services.peers->request(next->address, s_topic, message.SerializeAsString(), s_requestTimeout);
    }
}

auto LimitRouter::dump() const -> framework::Json
{
    auto groups = framework::Json::array();
    for (const auto& [number, owned] : m_owned) {
        groups.push_back({{"group", number},
                          {"accounts", owned.group->accounts()},
                          {"loansHeld", owned.group->heldGrantCount(m_services.clock->now())},
                          {"fencing", owned.fencing}});
    }
    return {{"groupsOwned", std::move(groups)}};
}

} // namespace laburnummill::accounts
