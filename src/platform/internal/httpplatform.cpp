#include "platform/internal/httpplatform.h"

#include "platform/internal/platformcodec.h"

namespace laburnummill::platform {

using framework::AsyncResult;
using framework::HttpError;
using framework::HttpRequest;
using framework::Json;
using framework::success;

namespace {

constexpr auto s_maxAnswerBytes = std::size_t{256 * 1024 * 1024};

auto failureOf(const std::error_code& error) -> PlatformError
{
    return error == HttpError::ConnectFailed ? PlatformError::Unavailable : PlatformError::OutcomeUnknown;
}

auto failureOf(unsigned status) -> PlatformError
{
    switch (status) {
    case 404:
        return PlatformError::NotFound;
    case 409:
        return PlatformError::Conflict;
    case 429:
        return PlatformError::TooManyRequests;
    case 503:
        return PlatformError::Unavailable;
    default:
        return PlatformError::OutcomeUnknown;
    }
}

} // namespace

HttpPlatform::HttpPlatform(framework::asio::any_io_executor executor, framework::PlatformSettings settings, std::string dataCentre)
    : m_client(std::move(executor))
    , m_settings(std::move(settings))
    , m_dataCentre(std::move(dataCentre))
{}

auto HttpPlatform::send(std::string method, std::string path, std::string body) -> AsyncResult<std::string>
{
    auto request = HttpRequest{std::move(method), std::move(path), {}, {{"X-Data-Centre", m_dataCentre}}, std::move(body)};
    const auto timeouts = framework::HttpClientTimeouts{m_settings.timeout, m_settings.timeout, m_settings.timeout};
    auto response = co_await m_client.fetch(m_settings.endpoint, request, timeouts, s_maxAnswerBytes);
    if (!response) {
        co_return failureOf(response.error());
    }
    if (response.value().status >= 300) {
        co_return failureOf(response.value().status);
    }
    co_return std::move(response.value().body);
}

auto HttpPlatform::sendJson(std::string path, const Json& body) -> AsyncResult<Json>
{
    BOOST_OUTCOME_CO_TRY(const auto text, co_await send("POST", std::move(path), framework::dumpJson(body)));
    auto document = framework::parseJson(text);
    if (!document) {
        co_return framework::failure(PlatformError::Malformed);
    }
    co_return std::move(*document);
}

auto HttpPlatform::read(std::vector<RowKey> keys) -> AsyncResult<std::vector<std::optional<Row>>>
{
    BOOST_OUTCOME_CO_TRY(const auto answer, co_await sendJson("/tables/read", {{"keys", keysToJson(keys)}}));
    auto rows = std::vector<std::optional<Row>>();
    for (const auto& entry : answer.value("rows", Json::array())) {
        rows.push_back(rowFromJson(entry));
    }
    if (rows.size() != keys.size()) {
        co_return PlatformError::Malformed;
    }
    co_return rows;
}

auto HttpPlatform::transact(std::vector<RowChange> changes) -> AsyncResult<std::vector<std::uint64_t>>
{
    BOOST_OUTCOME_CO_TRY(const auto answer, co_await sendJson("/tables/transact", {{"changes", changesToJson(changes)}}));
    auto versions = answer.value("versions", std::vector<std::uint64_t>());
    if (versions.size() != changes.size()) {
        co_return PlatformError::OutcomeUnknown;
    }
    co_return versions;
}

auto HttpPlatform::scan(ScanRequest request) -> AsyncResult<std::vector<Row>>
{
    const auto body = Json{{"table", request.table}, {"prefix", request.prefix}, {"after", request.after}, {"limit", request.limit}};
    BOOST_OUTCOME_CO_TRY(const auto answer, co_await sendJson("/tables/scan", body));
    auto rows = std::vector<Row>();
    for (const auto& entry : answer.value("rows", Json::array())) {
        if (auto row = rowFromJson(entry)) {
            rows.push_back(std::move(*row));
        }
    }
    co_return rows;
}

auto HttpPlatform::put(std::string name, std::string body) -> AsyncResult<void>
{
    BOOST_OUTCOME_CO_TRYV(co_await send("PUT", "/objects/" + name, std::move(body)));
    co_return success();
}

auto HttpPlatform::read(std::string name) -> AsyncResult<std::string>
{
    co_return co_await send("GET", "/objects/" + name, {});
}

auto HttpPlatform::remove(std::string name) -> AsyncResult<void>
{
    BOOST_OUTCOME_CO_TRYV(co_await send("DELETE", "/objects/" + name, {}));
    co_return success();
}

auto HttpPlatform::list(std::string prefix) -> AsyncResult<std::vector<std::string>>
{
    BOOST_OUTCOME_CO_TRY(const auto answer, co_await sendJson("/objects/list", {{"prefix", prefix}}));
    co_return answer.value("names", std::vector<std::string>());
}

auto HttpPlatform::hosts() -> AsyncResult<std::vector<HostEntry>>
{
    BOOST_OUTCOME_CO_TRY(const auto answer, co_await sendJson("/hosts/list", Json::object()));
    co_return hostsFromJson(answer.value("hosts", Json::array()));
}

} // namespace laburnummill::platform
