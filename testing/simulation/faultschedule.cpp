#include "testing/simulation/faultschedule.h"

#include "framework/global/nametable.h"

namespace laburnummill::testing {

using framework::Milliseconds;

namespace {

constexpr auto s_kinds = std::uint64_t{10};
constexpr auto s_maxGap = std::uint64_t{12'000};     ///< milliseconds between faults
constexpr auto s_maxDuration = std::uint64_t{9'000}; ///< milliseconds
constexpr auto s_maxAtOnce = std::size_t{2};
constexpr auto s_percent = 30;

} // namespace

FaultSchedule::FaultSchedule(VirtualFleet& fleet)
    : m_fleet(fleet)
    , m_next(fleet.now() + Milliseconds(3'000))
{}

auto FaultSchedule::someHosts() -> std::set<std::string>
{
    auto hosts = std::set<std::string>();
    for (auto host = std::size_t{0}; host < m_fleet.size(); ++host) {
        if (m_fleet.chance(s_percent)) {
            hosts.insert(m_fleet.host(host));
        }
    }
    return hosts;
}

auto FaultSchedule::beginAtHost(Kind kind, std::size_t host) -> std::function<void()>
{
    if (!m_fleet.isUp(host)) {
        return [] {};
    }
    if (kind == Kind::Pause) {
        m_fleet.pause(host);
        return [this, host] {
            if (m_fleet.isPaused(host)) {
                m_fleet.resume(host);
            }
        };
    }
    if (kind == Kind::Crash) {
        m_fleet.crash(host);
    } else {
        m_fleet.leave(host);
    }
    return [this, host] {
        m_fleet.crash(host);
        m_fleet.start(host);
    };
}

auto FaultSchedule::beginOnNetwork(Kind kind) -> std::function<void()>
{
    auto& faults = m_fleet.faults();
    switch (kind) {
    case Kind::LoseMessages:
        faults.loseMessagesPercent = s_percent;
        return [&faults] { faults.loseMessagesPercent = 0; };
    case Kind::DelayMessages:
        faults.delayMessagesPercent = s_percent;
        return [&faults] { faults.delayMessagesPercent = 0; };
    case Kind::StoreDown:
        faults.storeDown = true;
        return [&faults] { faults.storeDown = false; };
    case Kind::StoreDownForSome:
        faults.cutOffStore = someHosts();
        return [&faults] { faults.cutOffStore.clear(); };
    case Kind::LoseStoreAnswers:
        faults.loseStoreAnswersPercent = s_percent;
        return [&faults] { faults.loseStoreAnswersPercent = 0; };
    case Kind::DelayStore:
        faults.delayStorePercent = s_percent;
        return [&faults] { faults.delayStorePercent = 0; };
    default:
        faults.cutOffPeers = someHosts();
        return [&faults] { faults.cutOffPeers.clear(); };
    }
}

auto FaultSchedule::begin() -> void
{
    const auto kind = static_cast<Kind>(m_fleet.random()() % s_kinds);
    const auto host = static_cast<std::size_t>(m_fleet.random()() % m_fleet.size());
    const auto isAtHost = kind == Kind::Crash || kind == Kind::Pause || kind == Kind::Leave;
    m_fleet.note("fault " + std::to_string(static_cast<int>(kind)) + " begins");
    auto end = isAtHost ? beginAtHost(kind, host) : beginOnNetwork(kind);
    m_running.push_back({m_fleet.now() + Milliseconds(m_fleet.random()() % s_maxDuration), std::move(end)});
}

auto FaultSchedule::step() -> void
{
    m_fleet.step();
    for (auto index = std::size_t{0}; index < m_running.size();) {
        if (m_running[index].ends > m_fleet.now()) {
            ++index;
            continue;
        }
        const auto end = std::move(m_running[index].end);
        m_running.erase(m_running.begin() + static_cast<std::ptrdiff_t>(index));
        end();
    }
    if (m_fleet.now() >= m_next && m_running.size() < s_maxAtOnce) {
        m_next = m_fleet.now() + Milliseconds(m_fleet.random()() % s_maxGap);
        begin();
    }
}

} // namespace laburnummill::testing
