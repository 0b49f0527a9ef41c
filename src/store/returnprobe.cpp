#include "store/returnprobe.h"

#include "framework/global/tasks.h"
#include "framework/logging/log.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

namespace laburnummill::store {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

constexpr auto s_probeInterval = Milliseconds(100);

/// Without an answer for this long, other partitions are sampled.
constexpr auto s_sampleAfter = Milliseconds(250);

/// A table that is read in any partition; the range holds no rows.
constexpr auto s_probedTable = "turns";
constexpr auto s_probedFrom = "~";

} // namespace

ReturnProbe::ReturnProbe(asio::any_io_executor executor, IStore& direct, DirectWay& way, StoreHealth& health,
                         const framework::IClock& clock, std::vector<std::string> partitions, std::function<void()> onAnswer)
    : m_executor(std::move(executor))
    , m_direct(direct)
    , m_way(way)
    , m_health(health)
    , m_clock(clock)
    , m_partitions(std::move(partitions))
    , m_onAnswer(std::move(onAnswer))
{}

auto ReturnProbe::start() -> void
{
    framework::spawnLoop(m_executor, "store_return_probe", [this] { return run(); });
}

auto ReturnProbe::run() -> Async<void>
{
    auto timer = asio::steady_timer(m_executor);
    while (true) {
        timer.expires_after(s_probeInterval);
        co_await timer.async_wait(asio::use_awaitable);
        m_isFollowingUp = false;
        if (const auto away = m_health.awayPartitions(); !away.empty()) {
            startProbe(away[m_next++ % away.size()]);
        }
        const auto isInDoubt = m_way.isInDoubt(m_clock.now()) || m_health.isSilentFor(s_sampleAfter);
        if (m_samples.count() == 0 && !m_health.isSlow() && isInDoubt) {
            startSample();
        }
    }
}

auto ReturnProbe::startProbe(std::string partition) -> void
{
    framework::spawnTask(m_executor, "store_probe", probe(std::move(partition)));
}

auto ReturnProbe::probe(std::string partition) -> Async<void>
{
    const auto call = m_health.begin(partition);
    const auto page = co_await read(partition);
    if (!page) {
        m_health.abandon(call); // The other calls tell that it is away.
        co_return;
    }
    m_health.end(call, {});
    m_way.succeeded(partition, m_clock.now());
    const auto away = m_health.awayPartitions();
    framework::logEvent(framework::LogLevel::Info, "store", "partition_returned", {{"partition", partition}, {"away", away.size()}});
    m_onAnswer();
    if (!m_isFollowingUp) {
        m_isFollowingUp = true;
        for (const auto& other : away) {
            startProbe(other);
        }
    }
}

auto ReturnProbe::startSample() -> void
{
    const auto sampled = m_way.partitionsToTry(m_partitions, m_clock.now());
    for (const auto& partition : sampled) {
        framework::spawnTask(m_executor, "store_sample", sample(partition, m_samples.begin()));
    }
    // The next sample begins with others.
    std::ranges::stable_partition(m_partitions,
                                  [&sampled](const auto& partition) { return std::ranges::find(sampled, partition) == sampled.end(); });
}

auto ReturnProbe::sample(std::string partition, framework::WorkCount::Token /*token*/) -> Async<void>
{
    const auto startedAt = m_clock.now();
    const auto call = m_health.begin(partition);
    const auto page = co_await read(partition);
    m_health.end(call, page ? std::error_code() : page.error());
    if (page) {
        m_way.succeeded(partition, m_clock.now());
    } else if (m_way.isFailure(page.error(), startedAt, m_health.isSlow())) {
        m_way.failed(partition, m_clock.now());
    }
}

auto ReturnProbe::read(const std::string& partition) -> AsyncResult<RowPage>
{
    co_return co_await m_direct.list({.table = s_probedTable, .partition = partition, .from = s_probedFrom, .to = {}, .limit = 1});
}

} // namespace laburnummill::store
