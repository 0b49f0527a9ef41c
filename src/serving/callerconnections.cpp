#include "serving/callerconnections.h"

#include "framework/global/tasks.h"

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;

} // namespace

CallerConnections::CallerConnections(asio::any_io_executor executor, const asio::ip::tcp::endpoint& address,
                                     scheduling::ConnectionLimit limit, CallerContext& context)
    : m_executor(executor)
    , m_listener(executor, address, "callers")
    , m_limit(limit)
    , m_context(context)
{}

auto CallerConnections::open(std::optional<framework::Milliseconds> timeout) -> Async<boost::system::error_code>
{
    const auto error = co_await m_listener.open(timeout);
    if (!error) {
        framework::spawnLoop(m_executor, "caller_connections",
                             [this] { return m_listener.accept([this](asio::ip::tcp::socket socket) { add(std::move(socket)); }); });
    }
    co_return error;
}

auto CallerConnections::add(asio::ip::tcp::socket socket) -> void
{
    auto decision = m_limit.decide(count(), m_connections.size());
    if (decision == scheduling::ConnectionDecision::Replace && !replaceOne()) {
        decision = scheduling::ConnectionDecision::Reject;
    }
    if (decision == scheduling::ConnectionDecision::Reject) {
        ++m_rejected;
        m_context.servingContext.metrics.count("caller_connections_rejected");
        return;
    }
    const auto connection = std::make_shared<CallerConnection>(std::move(socket), m_context);
    m_connections.push_back(connection);
    framework::spawnTask(m_executor, "caller_requests", [connection]() -> Async<void> { co_await connection->run(); });
}

auto CallerConnections::replaceOne() -> bool
{
    auto longest = std::shared_ptr<CallerConnection>();
    auto longestSince = framework::Instant::max();
    for (const auto& weak : m_connections) {
        const auto connection = weak.lock();
        const auto since = connection ? connection->replaceableSince() : std::nullopt;
        if (since && *since < longestSince) {
            longest = connection;
            longestSince = *since;
        }
    }
    if (!longest || !longest->replace()) {
        return false;
    }
    m_context.servingContext.metrics.count("caller_connections_closed", {{"reason", "replaced"}});
    return true;
}

auto CallerConnections::closeIdle() -> bool
{
    auto areAllClosed = true;
    for (const auto& weak : m_connections) {
        const auto connection = weak.lock();
        areAllClosed = (!connection || (!connection->isFirstRequestLikely() && connection->closeIfIdle())) && areAllClosed;
    }
    return areAllClosed;
}

auto CallerConnections::maintain() -> void
{
    std::erase_if(m_connections, [](const auto& connection) { return connection.expired(); });
    for (const auto& weak : m_connections) {
        if (const auto connection = weak.lock()) {
            connection->closeIfStalled();
        }
    }
}

} // namespace laburnummill::serving
