#include "testing/fakes/fakeplatform.h"

#include "framework/global/asyncqueue.h"
#include "framework/global/errorcategory.h"
#include "platform/internal/platformcodec.h"

namespace laburnummill::testing {

using framework::Async;
using framework::HttpRequest;
using framework::HttpResponse;
using framework::Json;

namespace {

constexpr auto s_objectsPrefix = std::string_view("/objects/");

auto jsonResponse(unsigned status, const Json& body) -> HttpResponse
{
    return {status, {{"Content-Type", "application/json"}}, framework::dumpJson(body)};
}

auto errorResponse(const std::error_code& error) -> HttpResponse
{
    const auto status = error == platform::PlatformError::Conflict ? 409U : error == platform::PlatformError::NotFound ? 404U : 503U;
    return jsonResponse(status, {{"error", framework::codeOf(error)}});
}

auto scanRequest(const Json& body) -> platform::ScanRequest
{
    return {framework::stringAt(body, "table"), framework::stringAt(body, "prefix"), framework::stringAt(body, "after"),
            static_cast<std::size_t>(framework::integerAt(body, "limit", 1'000))};
}

} // namespace

auto FakePlatform::rejection(std::error_code error) -> HttpResponse
{
    return errorResponse(error);
}

auto FakePlatform::handle(const HttpRequest& request, framework::IHttpResponder& responder) -> Async<void>
{
    if (co_await answerFaults(m_faults, request, responder)) {
        co_return;
    }
    if (request.path == "/counts") {
        (void)co_await responder.respond(jsonResponse(200, {{"reads", m_reads}, {"writes", m_writes}}));
        co_return;
    }
    const auto dataCentre = framework::headerValue(request.headers, "X-Data-Centre");
    if (m_faults.down || (!m_faults.cutOffDataCentre.empty() && m_faults.cutOffDataCentre == dataCentre)) {
        (void)co_await responder.respond(errorResponse(platform::PlatformError::Unavailable));
        co_return;
    }
    auto response = co_await answer(request);
    if (m_faults.delayMs > 0) {
        co_await framework::sleepFor(framework::Milliseconds(m_faults.delayMs));
    }
    if (m_faults.loseAnswers > 0) {
        --m_faults.loseAnswers;
        co_return;
    }
    if (m_faults.loseWriteAnswers > 0 && request.path == "/tables/transact") {
        --m_faults.loseWriteAnswers;
        co_return;
    }
    (void)co_await responder.respond(std::move(response));
}

auto FakePlatform::answer(const HttpRequest& request) -> Async<HttpResponse>
{
    const auto body = framework::parseJson(request.body).value_or(Json::object());
    if (request.path == "/tables/read") {
        ++m_reads;
        auto rows = Json::array();
        for (const auto& key : platform::keysFromJson(body.value("keys", Json::array()))) {
            rows.push_back(platform::rowToJson(m_platform.readNow(key)));
        }
        co_return jsonResponse(200, {{"rows", rows}});
    }
    if (request.path == "/tables/transact") {
        ++m_writes;
        const auto versions = m_platform.transactNow(platform::changesFromJson(body.value("changes", Json::array())));
        co_return versions ? jsonResponse(200, {{"versions", versions.value()}}) : errorResponse(versions.error());
    }
    if (request.path == "/tables/scan") {
        ++m_reads;
        auto rows = Json::array();
        for (const auto& row : m_platform.scanNow(scanRequest(body))) {
            rows.push_back(platform::rowToJson(row));
        }
        co_return jsonResponse(200, {{"rows", rows}});
    }
    if (request.path == "/hosts/list") {
        co_return jsonResponse(200, {{"hosts", platform::hostsToJson((co_await m_platform.hosts()).value())}});
    }
    if (request.path == "/hosts") {
        m_platform.setHosts(platform::hostsFromJson(body.value("hosts", Json::array())));
        co_return jsonResponse(200, Json::object());
    }
    co_return co_await answerObject(request);
}

auto FakePlatform::answerObject(const HttpRequest& request) -> Async<HttpResponse>
{
    if (request.path == "/objects/list") {
        ++m_reads;
        const auto body = framework::parseJson(request.body).value_or(Json::object());
        const auto names = co_await m_platform.list(framework::stringAt(body, "prefix"));
        co_return jsonResponse(200, {{"names", names.value()}});
    }
    if (!request.path.starts_with(s_objectsPrefix)) {
        co_return errorResponse(platform::PlatformError::NotFound);
    }
    const auto name = request.path.substr(s_objectsPrefix.size());
    if (request.method == "GET") {
        ++m_reads;
        auto body = co_await m_platform.read(name);
        co_return body ? HttpResponse{200, {}, std::move(body.value())} : errorResponse(body.error());
    }
    ++m_writes;
    if (request.method == "PUT") {
        (void)co_await m_platform.put(name, request.body);
    } else {
        (void)co_await m_platform.remove(name);
    }
    co_return jsonResponse(200, Json::object());
}

} // namespace laburnummill::testing
