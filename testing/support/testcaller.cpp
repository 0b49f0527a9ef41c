#include "testing/support/testcaller.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <thread>

namespace laburnummill::testing {

using framework::Async;
using framework::HttpRequest;
using framework::HttpResponse;

namespace {

constexpr auto s_patience = std::chrono::seconds(30);
constexpr auto s_pollInterval = std::chrono::milliseconds(10);

auto fetchInto(framework::HttpClient& client, framework::Endpoint endpoint, HttpRequest request, HttpResponse& response) -> Async<void>
{
    auto answer = co_await client.fetch(endpoint, request);
    if (answer) {
        response = std::move(answer.value());
    }
}

} // namespace

TestCaller::TestCaller(framework::Endpoint endpoint, std::string key)
    : m_endpoint(std::move(endpoint))
    , m_key(std::move(key))
{}

auto TestCaller::request(const std::string& method, const std::string& path, const framework::Json& body,
                         const framework::Headers& headers) const -> HttpResponse
{
    auto request = HttpRequest{method, path, {}, headers, body.is_null() ? std::string() : framework::dumpJson(body)};
    if (const auto mark = path.find('?'); mark != std::string::npos) {
        request.path = path.substr(0, mark);
        request.query = path.substr(mark + 1);
    }
    request.headers["Content-Type"] = "application/json";
    if (!m_key.empty()) {
        request.headers["Authorization"] = "Bearer " + m_key;
    }
    auto context = framework::asio::io_context();
    auto response = HttpResponse{0, {}, {}};
    {
        auto client = framework::HttpClient(context.get_executor(), 0);
        framework::asio::co_spawn(context, fetchInto(client, m_endpoint, std::move(request), response), framework::asio::detached);
        context.run();
    }
    return response;
}

auto waitUntil(const std::function<bool()>& condition) -> bool
{
    const auto end = std::chrono::steady_clock::now() + s_patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > end) {
            return false;
        }
        std::this_thread::sleep_for(s_pollInterval);
    }
    return true;
}

} // namespace laburnummill::testing
