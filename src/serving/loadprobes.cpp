#include "serving/loadprobes.h"

#include "framework/global/signal.h"
#include "framework/global/tasks.h"

#include <boost/asio/steady_timer.hpp>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using backends::BackendPtr;
using framework::Async;
using framework::Milliseconds;

/// Servers answer at once; the way to another data centre and back takes up to 10 ms.
constexpr auto s_timeout = Milliseconds(25);

} // namespace

struct LoadProbes::Round
{
    explicit Round(const asio::any_io_executor& executor)
        : ended(executor)
        , timer(executor)
    {}

    framework::Signal ended;
    asio::steady_timer timer;
    framework::CancellationPtr cancellation = std::make_shared<framework::Cancellation>();
    std::size_t open = 0;
    std::vector<BackendPtr> answered;
};

auto LoadProbes::ask(std::vector<BackendPtr> servers, std::string healthPath) -> Async<std::vector<BackendPtr>>
{
    const auto round = std::make_shared<Round>(m_executor);
    round->open = servers.size();
    round->timer.expires_after(s_timeout);
    round->timer.async_wait([cancellation = round->cancellation](const boost::system::error_code& error) {
        if (!error) {
            cancellation->cancel();
        }
    });
    m_metrics.count("load_probes", {}, servers.size());
    for (const auto& server : servers) {
        framework::spawnTask(m_executor, "ask_one", askOne(round, server, healthPath));
    }
    const auto deadline = m_clock.now() + 2 * s_timeout;
    while (round->open > 0 && m_clock.now() < deadline) {
        co_await round->ended.wait(s_timeout);
    }
    round->timer.cancel();
    co_return round->answered;
}

auto LoadProbes::askOne(std::shared_ptr<Round> round, BackendPtr server, std::string healthPath) -> Async<void>
{
    if (co_await m_client.probe(server, healthPath, round->cancellation)) {
        round->answered.push_back(server);
    } else {
        server->load.recordSilence(m_clock.now());
        m_metrics.count("load_probes_unanswered");
    }
    --round->open;
    round->ended.notify();
}

} // namespace laburnummill::serving
