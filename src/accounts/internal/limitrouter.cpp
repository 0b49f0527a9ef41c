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
constexpr auto s_ownerPatience = Milliseconds(1'500);
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

auto reply(LimitReply::Kind kind, Milliseconds retryAfter = Milliseconds(0)) -> LimitReply
{
    auto message = LimitReply();
    message.set_kind(kind);
    message.set_retry_after_ms(static_cast<std::uint64_t>(retryAfter.count()));
    return message;
}

auto replyOf(const TakeOutcome& outcome, const std::string& dataCentre) -> LimitReply
{
    if (outcome.kind != TakeKind::Granted) {
        return reply(LimitReply::KIND_REFUSED, outcome.retryAfter);
    }
    auto message = reply(LimitReply::KIND_GRANTED);
    message.set_granted_by(dataCentre);
    return message;
}

auto request(LimitRequest::Kind kind, std::uint32_t group, std::string account) -> LimitRequest
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
    for (const auto& [name, time] : state.lentFor) {
        (*message.mutable_lent_for_us())[name] = static_cast<std::uint64_t>(time.count());
    }
    for (const auto& [name, time] : state.borrowedFor) {
        (*message.mutable_borrowed_for_us())[name] = static_cast<std::uint64_t>(time.count());
    }
    return message;
}

auto fromMessage(const GroupState& message) -> LimitGroupState
{
    auto state = LimitGroupState();
    state.tokens.insert(message.tokens().begin(), message.tokens().end());
    for (const auto& [name, time] : message.lent_for_us()) {
        state.lentFor[name] = Microseconds(static_cast<std::int64_t>(time));
    }
    for (const auto& [name, time] : message.borrowed_for_us()) {
        state.borrowedFor[name] = Microseconds(static_cast<std::int64_t>(time));
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

auto holdersOf(const configuration::Configuration& configuration) -> ShareHolders
{
    auto holders = ShareHolders();
    for (const auto& dataCentre : configuration.dataCentres) {
        holders.all.push_back(dataCentre.name);
        if (!dataCentre.drained) {
            holders.active.push_back(dataCentre.name);
        }
    }
    return holders;
}

} // namespace

LimitRouter::LimitRouter(LimitServices services, LoanTerms terms)
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
                                responder->write((co_await self->answer(std::move(message))).SerializeAsString());
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
    //! NOTE Owning under two views in a row means that nobody else owned in between; any other gap starts anew.
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

auto LimitRouter::configure(Owned& owned, std::uint32_t number, framework::Instant now) -> void
{
    const auto current = m_services.configuration->current();
    if (current && current->version != owned.configuration) {
        owned.configuration = current->version;
        owned.group->configure(limitsOf(*current, number), holdersOf(*current), now);
    }
}

auto LimitRouter::send(std::string dataCentre, LimitRequest message) -> AsyncResult<LimitReply>
{
    BOOST_OUTCOME_CO_TRY(const auto ownership, m_services.shards->ownerOf(shardOf(message.group(), dataCentre)));
    if (ownership.isSelf) {
        co_return co_await answer(std::move(message));
    }
    m_services.metrics->count("limit_messages_total");
    BOOST_OUTCOME_CO_TRY(const auto text, co_await m_services.peers->request(ownership.owner.address, s_topic, message.SerializeAsString(),
                                                                             s_requestTimeout));
    auto answered = LimitReply();
    if (!answered.ParseFromString(text)) {
        co_return RpcError::Malformed;
    }
    if (answered.kind() != LimitReply::KIND_NOT_OWNER) {
        m_heardDataCentres.insert(dataCentre);
    }
    co_return answered;
}

auto LimitRouter::isReady() const -> bool
{
    const auto current = m_services.configuration->current();
    if (!current || !m_ownersKnown) {
        return false;
    }
    //! NOTE After a whole term every share that this host's data centre may have lent is its own again.
    if (m_services.clock->now() - m_startedAt > m_terms.term + m_terms.drift + m_terms.renewal) {
        return true;
    }
    const auto& self = m_services.membership->self().dataCentre;
    const auto active = holdersOf(*current).active;
    return std::ranges::all_of(active, [&](const auto& name) { return name == self || m_heardDataCentres.contains(name); });
}

auto LimitRouter::take(std::string account) -> Async<TakeResult>
{
    const auto current = m_services.configuration->current();
    if (!current || current->clientAccount(account) == nullptr) {
        co_return RateRefusal{AccountError::AccountUnknown, Milliseconds(0)};
    }
    const auto& dataCentre = m_services.membership->self().dataCentre;
    for (auto waited = Milliseconds(0); waited < s_ownerPatience; waited += s_retryStep) {
        const auto answered = co_await send(dataCentre, request(LimitRequest::KIND_TAKE, groupOf(account), account));
        //! NOTE A request whose answer was lost may have taken a token: asking again costs the account one, never gives one.
        if (answered && answered.value().kind() == LimitReply::KIND_GRANTED) {
            co_return Token{account, answered.value().granted_by()};
        }
        if (answered && answered.value().kind() == LimitReply::KIND_REFUSED) {
            m_services.metrics->count("rate_refusals_total");
            co_return RateRefusal{AccountError::RateExceeded, Milliseconds(static_cast<std::int64_t>(answered.value().retry_after_ms()))};
        }
        co_await framework::sleepFor(s_retryStep);
    }
    co_return RateRefusal{AccountError::LimitsUnavailable, m_terms.renewal};
}

auto LimitRouter::takeAtOwner(std::uint32_t number, std::string account) -> Async<LimitReply>
{
    const auto group = ownedGroup(number);
    if (!group) {
        co_return reply(LimitReply::KIND_NOT_OWNER);
    }
    const auto outcome = group->take(account, m_services.clock->now());
    if (outcome.kind != TakeKind::AskHome) {
        co_return replyOf(outcome, m_services.membership->self().dataCentre);
    }
    co_return co_await askHome(group, number, std::move(account), outcome.home);
}

auto LimitRouter::askHome(std::shared_ptr<LimitGroup> group, std::uint32_t number, std::string account, std::string home)
    -> Async<LimitReply>
{
    const auto answered = co_await send(home, request(LimitRequest::KIND_TAKE_AS_HOME, number, account));
    const auto now = m_services.clock->now();
    if (!answered || answered.value().kind() == LimitReply::KIND_NOT_OWNER) {
        m_services.metrics->count("limit_home_unreachable_total");
        const auto own = group->take(account, now);
        co_return replyOf(own.kind == TakeKind::AskHome ? group->refuseUnreachable(account, now) : own,
                          m_services.membership->self().dataCentre);
    }
    if (answered.value().kind() == LimitReply::KIND_REFUSED) {
        group->noteRefusal(account, Milliseconds(static_cast<std::int64_t>(answered.value().retry_after_ms())), now);
    }
    co_return answered.value();
}

auto LimitRouter::answer(LimitRequest message) -> Async<LimitReply>
{
    if (message.kind() == LimitRequest::KIND_TAKE) {
        co_return co_await takeAtOwner(message.group(), message.account());
    }
    if (message.kind() == LimitRequest::KIND_HAND_OVER) {
        m_received[message.group()] = {fromMessage(message.state()), m_services.clock->now()};
        co_return reply(LimitReply::KIND_GRANTED);
    }
    if (message.kind() == LimitRequest::KIND_LEND) {
        co_return answerLoan(message);
    }
    const auto group = ownedGroup(message.group());
    if (!group) {
        co_return reply(LimitReply::KIND_NOT_OWNER);
    }
    const auto now = m_services.clock->now();
    if (message.kind() == LimitRequest::KIND_GIVE_BACK) {
        group->giveBack(message.account(), now);
        co_return reply(LimitReply::KIND_GRANTED);
    }
    co_return replyOf(group->takeAsHome(message.account(), now), m_services.membership->self().dataCentre);
}

auto LimitRouter::answerLoan(const LimitRequest& message) -> LimitReply
{
    const auto group = ownedGroup(message.group());
    if (!group) {
        return reply(LimitReply::KIND_NOT_OWNER);
    }
    const auto loan = group->lend(message.data_centre(), m_services.clock->now());
    auto answered = reply(loan.granted ? LimitReply::KIND_GRANTED : LimitReply::KIND_REFUSED);
    answered.mutable_active()->Assign(loan.active.begin(), loan.active.end());
    answered.mutable_pending()->Assign(loan.pending.begin(), loan.pending.end());
    return answered;
}

auto LimitRouter::giveBack(const Token& token) -> void
{
    if (token.account.empty()) {
        return;
    }
    const auto sending = [](std::shared_ptr<LimitRouter> self, std::string dataCentre, LimitRequest sent) -> Async<void> {
        (void)co_await self->send(std::move(dataCentre), std::move(sent));
    };
    auto message = request(LimitRequest::KIND_GIVE_BACK, groupOf(token.account), token.account);
    framework::asio::co_spawn(m_services.peers->executor(), sending(shared_from_this(), token.grantedBy, std::move(message)),
                              framework::asio::detached);
}

auto LimitRouter::renewLoans() -> void
{
    const auto& dataCentre = m_services.membership->self().dataCentre;
    m_ownersKnown = m_services.configuration->current() != nullptr;
    for (auto number = std::uint32_t{0}; number < s_groups; ++number) {
        const auto group = ownedGroup(number);
        const auto ownership = m_services.shards->ownerOf(shardOf(number, dataCentre));
        m_ownersKnown = m_ownersKnown && ownership && (group || !ownership.value().isSelf);
        if (!group) {
            continue;
        }
        for (const auto& lender : group->lendersToAsk(m_services.clock->now())) {
            framework::asio::co_spawn(m_services.peers->executor(), renewLoan(group, number, lender), framework::asio::detached);
        }
    }
}

auto LimitRouter::renewLoan(std::shared_ptr<LimitGroup> group, std::uint32_t number, std::string lender) -> Async<void>
{
    const auto self = shared_from_this();
    const auto sentAt = m_services.clock->now();
    auto message = request(LimitRequest::KIND_LEND, number, {});
    message.set_data_centre(m_services.membership->self().dataCentre);
    const auto answered = co_await send(lender, std::move(message));
    if (!answered || answered.value().kind() != LimitReply::KIND_GRANTED) {
        co_return;
    }
    auto loan = LoanAnswer{true, {}, {}};
    loan.active.assign(answered.value().active().begin(), answered.value().active().end());
    loan.pending.assign(answered.value().pending().begin(), answered.value().pending().end());
    group->borrow(lender, loan, sentAt, m_services.clock->now());
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
        auto message = request(LimitRequest::KIND_HAND_OVER, number, {});
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
                          {"loansHeld", owned.group->loansHeld(m_services.clock->now())},
                          {"fencing", owned.fencing}});
    }
    return {{"groupsOwned", std::move(groups)}};
}

} // namespace laburnummill::accounts
