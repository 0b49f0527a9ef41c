#include "operatorcli/internal/apiclient.h"

#include "framework/http/httpclient.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace laburnummill::operatorcli {

using framework::HttpRequest;
using framework::Json;

namespace {

constexpr auto s_prefix = "/admin/v1/";

auto fetchInto(framework::HttpClient& client, framework::Endpoint daemon, HttpRequest request, ApiAnswer& answer) -> framework::Async<void>
{
    const auto response = co_await client.fetch(daemon, request);
    if (response) {
        answer = {response.value().status, framework::parseJson(response.value().body).value_or(Json::object())};
    }
}

} // namespace

ApiClient::ApiClient(framework::Endpoint daemon, std::string key)
    : m_daemon(std::move(daemon))
    , m_key(std::move(key))
{}

auto ApiClient::request(HttpRequest request) const -> ApiAnswer
{
    request.headers["Authorization"] = "Bearer " + m_key;
    request.headers["Content-Type"] = "application/json";
    auto context = framework::asio::io_context();
    auto answer = ApiAnswer();
    auto client = framework::HttpClient(context.get_executor(), 0);
    framework::asio::co_spawn(context, fetchInto(client, m_daemon, std::move(request), answer), framework::asio::detached);
    context.run();
    return answer;
}

auto ApiClient::get(const std::string& path, const std::string& query) const -> ApiAnswer
{
    return request({"GET", s_prefix + path, query, {}, {}});
}

auto ApiClient::send(const std::string& method, const std::string& path, const Json& body) const -> ApiAnswer
{
    return request({method, s_prefix + path, {}, {}, body.is_null() ? std::string() : framework::dumpJson(body)});
}

} // namespace laburnummill::operatorcli
