#include "testing/measure/gateway/loadclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <algorithm>

namespace laburnummill::testing {

using framework::Async;
using framework::Endpoint;
using framework::HttpClient;
using framework::HttpRequest;

namespace {

constexpr auto s_streamTimeouts =
    framework::HttpClientTimeouts{framework::Milliseconds(10'000), framework::Milliseconds(60'000), framework::Milliseconds(600'000)};
constexpr auto s_openersAtOnce = std::size_t{64};

auto loadTask(HttpClient& client, Endpoint endpoint, HttpRequest request, std::size_t& left, LoadResult& result) -> Async<void>
{
    while (left > 0) {
        --left;
        const auto start = std::chrono::steady_clock::now();
        const auto answer = co_await client.fetch(endpoint, request);
        if (!answer || answer.value().status != 200) {
            ++result.failures;
            continue;
        }
        const auto elapsed = std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - start);
        result.milliseconds.push_back(elapsed.count());
    }
}

} // namespace

auto LoadResult::quantile(double share) const -> double
{
    if (milliseconds.empty()) {
        return 0;
    }
    const auto position = static_cast<std::size_t>(share * static_cast<double>(milliseconds.size() - 1));
    return milliseconds[position];
}

auto runLoad(const Endpoint& endpoint, const HttpRequest& request, std::size_t concurrency, std::size_t requests) -> LoadResult
{
    auto context = framework::asio::io_context();
    auto result = LoadResult();
    auto left = requests;
    {
        auto client = HttpClient(context.get_executor(), concurrency);
        for (auto task = std::size_t{0}; task < concurrency; ++task) {
            framework::asio::co_spawn(context, loadTask(client, endpoint, request, left, result), framework::asio::detached);
        }
        context.run();
    }
    std::ranges::sort(result.milliseconds);
    return result;
}

OpenStreams::OpenStreams(Endpoint endpoint, HttpRequest request)
    : m_endpoint(std::move(endpoint))
    , m_request(std::move(request))
    , m_client(m_context.get_executor(), 0)
{}

OpenStreams::~OpenStreams()
{
    for (const auto& stream : m_open) {
        stream->cancel();
    }
}

auto OpenStreams::openOne() -> Async<void>
{
    auto opened = co_await m_client.open(m_endpoint, m_request, s_streamTimeouts);
    if (!opened || opened.value()->status() != 200) {
        co_return;
    }
    if (co_await opened.value()->read()) {
        m_open.push_back(std::move(opened.value()));
    }
}

auto OpenStreams::growTo(std::size_t count) -> std::size_t
{
    while (m_open.size() < count) {
        const auto before = m_open.size();
        for (auto number = std::size_t{0}; number < std::min(s_openersAtOnce, count - before); ++number) {
            framework::asio::co_spawn(m_context, openOne(), framework::asio::detached);
        }
        m_context.restart();
        m_context.run();
        if (m_open.size() == before) {
            break;
        }
    }
    return m_open.size();
}

} // namespace laburnummill::testing
