#include "testing/soak/limits/limitfleet.h"

#include <algorithm>

namespace laburnummill::testing {

using accounts::LimitGroup;
using accounts::TakeKind;
using framework::Instant;
using framework::Microseconds;
using framework::Milliseconds;

namespace {

constexpr auto s_step = Milliseconds(10);
constexpr auto s_maxDrift = 0.02;
constexpr auto s_driftPart = 20;
constexpr auto s_messageLoss = 0.02;
constexpr auto s_keptEvents = std::size_t{40};
constexpr auto s_tolerance = 1e-6;
constexpr auto s_microsecondsPerSecond = 1.0e6;

} // namespace

LimitFleet::LimitFleet(std::uint64_t seed, LimitFleetOptions options)
    : m_random(seed)
    , m_options(options)
{
    m_terms.term = m_options.term;
    m_terms.drift = m_options.term / s_driftPart;
    if (m_options.breakage == LimitBreakage::NoDriftAllowance) {
        m_terms.drift = Milliseconds(0);
    }
    for (auto number = std::size_t{0}; number < m_options.dataCentres; ++number) {
        auto site = Site();
        site.name = "dc-" + std::to_string(number + 1);
        site.clockRate = 1.0 + s_maxDrift * std::uniform_real_distribution<>(-1.0, 1.0)(m_random);
        m_sites.push_back(std::move(site));
    }
    for (auto number = std::size_t{0}; number < m_options.accounts; ++number) {
        const auto rate = std::uniform_real_distribution<>(0.5, m_options.maxRatePerSecond)(m_random);
        const auto burst = std::uniform_int_distribution<>(1, 30)(m_random);
        m_limits.push_back({"account-" + std::to_string(number), rate, static_cast<double>(burst)});
        m_accepted.push_back({static_cast<double>(burst), m_now});
        m_offered.push_back({0, m_now});
    }
    for (auto& site : m_sites) {
        startGroup(site);
    }
}

auto LimitFleet::seconds() const -> double
{
    return static_cast<double>(m_now.time_since_epoch().count()) / s_microsecondsPerSecond;
}

auto LimitFleet::chance(double probability) -> bool
{
    return std::uniform_real_distribution<>(0.0, 1.0)(m_random) < probability;
}

auto LimitFleet::note(std::string event) -> void
{
    m_events.push_back(std::to_string(seconds()) + " " + std::move(event));
    if (m_events.size() > s_keptEvents) {
        m_events.pop_front();
    }
}

auto LimitFleet::localTime(const Site& site) const -> Instant
{
    return Instant(Microseconds(static_cast<std::int64_t>(static_cast<double>(m_now.time_since_epoch().count()) * site.clockRate)));
}

auto LimitFleet::holders() const -> accounts::DataCentreSet
{
    auto holders = accounts::DataCentreSet();
    for (const auto& site : m_sites) {
        holders.all.push_back(site.name);
    }
    holders.active = holders.all;
    return holders;
}

auto LimitFleet::startGroup(Site& site) -> void
{
    const auto now = localTime(site);
    const auto forgotten =
        m_options.breakage == LimitBreakage::SuccessorKnows ? Microseconds(m_terms.term + m_terms.drift) : Microseconds(0);
    site.group = std::make_unique<LimitGroup>(site.name, m_terms, now - forgotten);
    site.group->configure(m_limits, holders(), now);
}

auto LimitFleet::renewGrants(Site& site) -> void
{
    const auto sentAt = localTime(site);
    for (const auto& lender : site.group->grantorsToRenew(sentAt)) {
        auto& from = *std::ranges::find(m_sites, lender, &Site::name);
        ++m_counts.messages;
        if (site.cutOff || from.cutOff || chance(s_messageLoss)) {
            continue;
        }
        const auto answer = from.group->grantShare(site.name, localTime(from));
        ++m_counts.messages;
        if (m_options.breakage == LimitBreakage::LenderForgets) {
            const auto state = from.group->handOver(localTime(from));
            startGroup(from);
            from.group->adopt({state.tokens, {}, state.heldFor}, localTime(from));
            for (const auto& each : m_sites) {
                from.group->adopt({{}, {{each.name, Microseconds(0)}}, {}}, localTime(from) - m_terms.drift);
            }
        }
        if (!chance(s_messageLoss)) {
            site.group->acceptGrant(lender, answer, sentAt, localTime(site));
        }
    }
}

auto LimitFleet::injectFault() -> void
{
    auto& site = m_sites[std::uniform_int_distribution<std::size_t>(0, m_sites.size() - 1)(m_random)];
    switch (std::uniform_int_distribution<>(0, 3)(m_random)) {
    case 0:
        site.cutOff = !site.cutOff;
        note(site.name + (site.cutOff ? " cut off" : " joined again"));
        break;
    case 1:
        startGroup(site);
        note(site.name + " has a new owner after a death");
        break;
    case 2: {
        const auto state = site.group->handOver(localTime(site));
        startGroup(site);
        site.group->adopt(state, localTime(site));
        note(site.name + " handed over");
        break;
    }
    default:
        site.group->configure(m_limits, holders(), localTime(site));
        note(site.name + " read the configuration again");
        break;
    }
}

auto LimitFleet::fill(Reference& reference, const accounts::AccountLimit& limit, double rateFactor) const -> void
{
    const auto elapsed = static_cast<double>((m_now - reference.at).count()) / s_microsecondsPerSecond;
    reference.tokens = std::min(limit.burst, reference.tokens + elapsed * limit.ratePerSecond * rateFactor);
    reference.at = m_now;
}

auto LimitFleet::accept(std::size_t account) -> void
{
    //! NOTE Hosts' clocks may run fast by the drift allowed, and so may what they grant.
    auto& reference = m_accepted[account];
    fill(reference, m_limits[account], 1.0 + s_maxDrift);
    reference.tokens -= 1.0;
    if (reference.tokens < -s_tolerance) {
        ++m_counts.overLimit;
        note("accepted above the limit: " + m_limits[account].account);
    }
}

auto LimitFleet::askAll(Site& site, const std::string& account) -> bool
{
    const auto outcome = site.group->take(account, localTime(site));
    if (outcome.kind != TakeKind::ForwardToHome) {
        return outcome.kind == TakeKind::Granted;
    }
    auto& home = *std::ranges::find(m_sites, outcome.home, &Site::name);
    m_counts.messages += 2;
    if (site.cutOff || home.cutOff) {
        return false;
    }
    const auto answered = home.group->takeAsHome(account, localTime(home));
    if (answered.kind != TakeKind::Granted) {
        site.group->recordRefusal(account, answered.retryAfter, localTime(site));
    }
    return answered.kind == TakeKind::Granted;
}

auto LimitFleet::call(std::size_t account) -> void
{
    const auto& limit = m_limits[account];
    auto& offered = m_offered[account];
    //! NOTE A conforming caller stays within what the slowest clock allows.
    fill(offered, limit, 1.0 - s_maxDrift);
    const auto isWithinRate = offered.tokens >= 1.0;
    if (m_options.conforming && !isWithinRate) {
        return;
    }
    auto& site = m_sites[std::uniform_int_distribution<std::size_t>(0, m_sites.size() - 1)(m_random)];
    ++m_counts.calls;
    if (askAll(site, limit.account)) {
        ++m_counts.granted;
        offered.tokens = std::max(0.0, offered.tokens - 1.0);
        accept(account);
        return;
    }
    ++m_counts.refused;
    if (isWithinRate) {
        ++m_counts.refusedWithinRate;
        offered.tokens -= 1.0;
        note("refused within rate: " + limit.account + " at " + site.name);
    }
}

auto LimitFleet::step() -> bool
{
    m_now += s_step;
    const auto stepSeconds = static_cast<double>(s_step.count()) / 1'000.0;
    if (chance(m_options.faultsPerSecond * stepSeconds)) {
        injectFault();
    }
    for (auto& site : m_sites) {
        renewGrants(site);
    }
    for (auto account = std::size_t{0}; account < m_limits.size(); ++account) {
        const auto expected = m_limits[account].ratePerSecond * m_options.callsPerRate * stepSeconds;
        const auto count = std::poisson_distribution<>(expected)(m_random);
        for (auto number = 0; number < count; ++number) {
            call(account);
        }
        // Now and then a caller sends all that its burst allows at once.
        if (chance(0.05 * stepSeconds)) {
            for (auto number = 0.0; number < m_limits[account].burst; ++number) {
                call(account);
            }
        }
    }
    return m_counts.overLimit == 0;
}

} // namespace laburnummill::testing
