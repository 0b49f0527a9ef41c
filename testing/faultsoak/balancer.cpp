#include "balancer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace laburnummill::testing {

namespace {

constexpr auto s_probeInterval = std::chrono::seconds(1);
constexpr auto s_mostMisses = 2;

} // namespace

Rotation::Rotation(int hosts, int dataCentres)
    : m_dataCentres(dataCentres)
    , m_misses(static_cast<std::size_t>(hosts))
{}

auto Rotation::probed(int host, bool isReady) -> void
{
    auto& misses = m_misses[static_cast<std::size_t>(host)];
    misses = isReady ? 0 : misses + 1;
}

auto Rotation::hostFor(int dataCentre, std::uint64_t random) const -> int
{
    auto all = std::vector<int>();
    auto inRotation = std::vector<int>();
    for (auto host = dataCentre; host < static_cast<int>(m_misses.size()); host += m_dataCentres) {
        all.push_back(host);
        if (m_misses[static_cast<std::size_t>(host)] < s_mostMisses) {
            inRotation.push_back(host);
        }
    }
    const auto& used = 2 * inRotation.size() < all.size() ? all : inRotation;
    return used[random % used.size()];
}

Balancer::Balancer(asio::io_context& context, SoakFleet& fleet)
    : m_context(context)
    , m_fleet(fleet)
    , m_rotation(fleet.hosts(), fleet.dataCentres())
{}

auto Balancer::start() -> void
{
    for (auto host = 0; host < m_fleet.hosts(); ++host) {
        asio::co_spawn(m_context, probe(host), asio::detached);
    }
}

auto Balancer::probe(int host) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context);
    while (true) {
        timer.expires_after(s_probeInterval);
        m_rotation.probed(host, co_await m_fleet.isReady(host));
        co_await timer.async_wait(asio::use_awaitable);
    }
}

} // namespace laburnummill::testing
