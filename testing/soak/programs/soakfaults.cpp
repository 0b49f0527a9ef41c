#include "testing/soak/programs/programsoak.h"

#include "framework/global/digest.h"
#include "programs/internal/enginememory.h"

#include <algorithm>

//! NOTE The part of ProgramSoak that makes hosts, store and engine fail, and judges what is left at the end.
namespace laburnummill::testing {

using programs::Actions;
using programs::ProgramOwner;

namespace {

constexpr auto s_leaseMs = std::int64_t{1'000};
constexpr auto s_viewChangeMs = std::int64_t{1'500};
constexpr auto s_tickMs = std::int64_t{50};
constexpr auto s_reconcileMs = std::int64_t{3'000};
constexpr auto s_calmMs = std::int64_t{320'000};
constexpr auto s_maxDeathsInOutage = std::uint32_t{2};
constexpr auto s_limits = configuration::ProgramLimits{14, 20'000, 1'000'000'000, 200'000};

} // namespace

class ProgramSoak::Leases final : public programs::ILeases
{
public:
    Leases(const ProgramSoak& soak, std::size_t host, std::uint64_t incarnation)
        : m_soak(soak)
        , m_host(host)
        , m_incarnation(incarnation)
    {}

    auto fencingOf(const std::string& program) const -> std::optional<std::uint64_t> override
    {
        return m_soak.fencingFor(m_host, m_incarnation, program);
    }

private:
    const ProgramSoak& m_soak;
    std::size_t m_host;
    std::uint64_t m_incarnation;
};

auto ProgramSoak::ownerOf(const std::string& program) const -> std::optional<std::size_t>
{
    auto best = std::optional<std::size_t>();
    auto bestRank = std::uint64_t{0};
    for (auto host = std::size_t{0}; host < m_hosts.size(); ++host) {
        const auto rank = framework::hash64(programs::rootOf(program) + "/" + std::to_string(host));
        if (m_hosts[host].inView && (!best || rank > bestRank)) {
            best = host;
            bestRank = rank;
        }
    }
    return best;
}

auto ProgramSoak::fencingFor(std::size_t host, std::uint64_t incarnation, const std::string& program) const -> std::optional<std::uint64_t>
{
    const auto& self = m_hosts[host];
    const auto isMember = self.inView && self.incarnation == incarnation && m_nowMs < self.leaseUntilMs;
    return isMember && ownerOf(program) == host ? std::optional(m_view) : std::nullopt;
}

auto ProgramSoak::boot(std::size_t host) -> void
{
    auto& target = m_hosts[host];
    ++target.incarnation;
    target.alive = true;
    target.pausedUntilMs = 0;
    target.held = programs::HeldRecords(1'000'000);
    auto settings = programs::OwnerSettings();
    settings.self = "host-" + std::to_string(host) + "/" + std::to_string(target.incarnation);
    settings.queue.objectPrefix = "history/" + settings.self + "/";
    settings.queue.maxBatchBytes = 4'000;
    settings.limits = s_limits;
    settings.maxHistoryBytes = 4'000;
    settings.policy = m_options.policy;
    target.owner = std::make_unique<ProgramOwner>(settings, std::make_shared<Leases>(*this, host, target.incarnation));
    changeView(host, true);
    const auto incarnation = target.incarnation;
    tickHost(host, incarnation);
    later(pick(1, s_reconcileMs), [this, host, incarnation] { reconcile(host, incarnation); });
}

auto ProgramSoak::changeView(std::size_t host, bool inView) -> void
{
    m_hosts[host].inView = inView;
    m_hosts[host].leaseUntilMs = m_nowMs + s_leaseMs;
    ++m_view;
    note("view " + std::to_string(m_view) + (inView ? " with host " : " without host ") + std::to_string(host));
}

auto ProgramSoak::kill(std::size_t host) -> void
{
    auto& target = m_hosts[host];
    const auto alive = std::ranges::count_if(m_hosts, [](const auto& each) { return each.alive; });
    const auto holdsAny = std::ranges::any_of(m_hosts, [](const auto& each) { return each.held.size() > 0; });
    m_deathsThisOutage = holdsAny || m_store.down ? m_deathsThisOutage : 0;
    if (!target.alive || alive <= 2 || m_deathsThisOutage >= s_maxDeathsInOutage) {
        return;
    }
    note("host " + std::to_string(host) + " dies");
    ++m_outcome.deaths;
    ++m_deathsThisOutage;
    m_outcome.claims += target.owner->counts().claims;
    target.alive = false;
    target.owner.reset();
    target.held = programs::HeldRecords(1'000'000);
    later(s_viewChangeMs, [this, host] {
        if (!m_hosts[host].alive) {
            changeView(host, false);
        }
    });
    later(pick(s_viewChangeMs + 500, 8'000), [this, host] {
        if (!m_hosts[host].alive) {
            boot(host);
        }
    });
}

auto ProgramSoak::pause(std::size_t host) -> void
{
    auto& target = m_hosts[host];
    if (!target.alive || !target.inView || target.pausedUntilMs > m_nowMs) {
        return;
    }
    note("host " + std::to_string(host) + " pauses");
    const auto incarnation = target.incarnation;
    target.pausedUntilMs = m_nowMs + pick(500, 5'000);
    target.leaseUntilMs = m_nowMs + s_leaseMs;
    const auto isSame = [this, host, incarnation] { return m_hosts[host].alive && m_hosts[host].incarnation == incarnation; };
    later(s_viewChangeMs, [this, host, isSame] {
        if (isSame() && m_hosts[host].pausedUntilMs > m_nowMs) {
            changeView(host, false);
            later(m_hosts[host].pausedUntilMs - m_nowMs + 300, [this, host, isSame] {
                if (isSame()) {
                    changeView(host, true);
                }
            });
        }
    });
}

auto ProgramSoak::tickHost(std::size_t host, std::uint64_t incarnation) -> void
{
    auto& target = m_hosts[host];
    if (!target.alive || target.incarnation != incarnation) {
        return;
    }
    if (target.pausedUntilMs <= m_nowMs && target.inView) {
        target.leaseUntilMs = m_nowMs + s_leaseMs;
    }
    const auto alive = std::ranges::count_if(m_hosts, [](const auto& each) { return each.alive; });
    target.owner->setPeers(static_cast<std::size_t>(alive - 1));
    deliver(host, incarnation, 0, [this](ProgramOwner& owner) { return owner.tick(moment()); });
    const auto wait = std::max(s_tickMs, target.pausedUntilMs - m_nowMs);
    later(wait, [this, host, incarnation] { tickHost(host, incarnation); });
}

auto ProgramSoak::reconcile(std::size_t host, std::uint64_t incarnation) -> void
{
    auto& target = m_hosts[host];
    if (!target.alive || target.incarnation != incarnation) {
        return;
    }
    later(s_reconcileMs, [this, host, incarnation] { reconcile(host, incarnation); });
    if (m_store.down) {
        return;
    }
    for (const auto& program : target.held.programs()) {
        const auto row = m_store.row(program);
        target.held.dropUpTo(program, row ? programs::rowFromText(row->value).turns : 0);
    }
    for (const auto& program : target.held.programs()) {
        if (const auto owner = ownerOf(program)) {
            deliver(*owner, m_hosts[*owner].incarnation, 5,
                    [this, program](ProgramOwner& each) { return each.recover(program, moment()); });
        }
    }
}

auto ProgramSoak::reconcileEngine() -> void
{
    later(s_reconcileMs, [this] { reconcileEngine(); });
    if (m_store.down) {
        return;
    }
    auto held = std::vector<programs::HeldProgram>();
    const auto rowOf = [this](const std::string& program) {
        const auto row = m_store.row(program);
        return row ? std::optional(programs::rowFromText(row->value)) : std::nullopt;
    };
    for (const auto& program : m_engine) {
        held.push_back({program, rowOf(program), rowOf(programs::rootOf(program))});
    }
    for (const auto& program : programs::programsToRelease(held, moment().wallMs, s_limits.expiryMs)) {
        if (!chance(0.4)) {
            m_engine.erase(program);
        }
    }
}

auto ProgramSoak::disturb() -> void
{
    if (m_calm) {
        return;
    }
    const auto host = static_cast<std::size_t>(pick(0, static_cast<std::int64_t>(m_hosts.size()) - 1));
    const auto what = pick(0, 9);
    if (what < 3) {
        kill(host);
    } else if (what < 5) {
        pause(host);
    } else if (what < 7 && !m_store.down) {
        note("store down");
        m_store.down = true;
        ++m_outcome.outages;
        later(pick(500, 15'000), [this] {
            note("store up");
            m_store.down = false;
        });
    } else if (!m_store.down) {
        startRoot();
    }
    later(pick(300, 5'000), [this] { disturb(); });
}

auto ProgramSoak::finish() -> void
{
    m_calm = true;
    m_store.down = false;
    note("calm");
    const auto end = m_nowMs + s_calmMs;
    while (m_nowMs < end && m_outcome.violations.empty()) {
        runEvent();
    }
}

auto ProgramSoak::checkEnd() -> void
{
    const auto report = [this](const std::string& violation) {
        m_outcome.violations.push_back(violation);
        m_outcome.violatedAtStep = m_step;
    };
    for (const auto& host : m_hosts) {
        if (host.alive && host.held.size() > 0) {
            report("records are still held at a peer: " + host.held.programs().front());
        }
        if (host.alive && host.owner->queue().size() > 0) {
            report("records still wait at an owner");
        }
    }
    for (const auto& program : m_engine) {
        const auto row = m_store.row(program);
        if (!row || programs::isFinished(programs::rowFromText(row->value), moment().wallMs, s_limits.expiryMs)) {
            report("the engine still holds " + program);
        }
    }
    for (const auto& [program, caller] : m_callers.all()) {
        const auto row = m_store.row(program);
        if (!row) {
            report("a program is lost: " + program);
            continue;
        }
        const auto parsed = programs::rowFromText(row->value);
        m_callers.checkStored(program, parsed, m_store.linesOf(parsed));
        if (programs::rootOf(program) == program) {
            checkFamily(program);
        }
    }
}

auto ProgramSoak::checkFamily(const std::string& root) -> void
{
    auto turns = std::uint64_t{0};
    auto tokens = std::uint64_t{0};
    for (const auto& [program, caller] : m_callers.all()) {
        const auto row = m_store.row(program);
        if (row && programs::rootOf(program) == root) {
            turns += programs::rowFromText(row->value).turns;
            tokens += programs::rowFromText(row->value).tokens;
        }
    }
    const auto row = programs::rowFromText(m_store.row(root)->value);
    if (turns > s_limits.maxTurns || tokens > s_limits.maxTokens) {
        m_outcome.violations.push_back("a budget is overdrawn: " + root);
    }
    if (turns > row.familyTurns || tokens > row.familyTokens) {
        m_outcome.violations.push_back("a root counts less than its family used: " + root);
    }
}

} // namespace laburnummill::testing
