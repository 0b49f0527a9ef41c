#pragma once

#include "framework/global/json.h"
#include "framework/http/httpclient.h"
#include "framework/settings/daemonsettings.h"
#include "platform/ihostlist.h"
#include "platform/iobjectstore.h"
#include "platform/itableservice.h"

namespace laburnummill::platform {

/// The platform's services over HTTP and JSON.
class HttpPlatform final : public ITableService, public IObjectStore, public IHostList
{
public:
    /// `dataCentre` is told to the platform with each request.
    HttpPlatform(framework::asio::any_io_executor executor, framework::PlatformSettings settings, std::string dataCentre);

    auto read(std::vector<RowKey> keys) -> framework::AsyncResult<std::vector<std::optional<Row>>> override;
    auto transact(std::vector<RowChange> changes) -> framework::AsyncResult<std::vector<std::uint64_t>> override;
    auto scan(ScanRequest request) -> framework::AsyncResult<std::vector<Row>> override;

    auto put(std::string name, std::string body) -> framework::AsyncResult<void> override;
    auto read(std::string name) -> framework::AsyncResult<std::string> override;
    auto remove(std::string name) -> framework::AsyncResult<void> override;
    auto list(std::string prefix) -> framework::AsyncResult<std::vector<std::string>> override;

    auto hosts() -> framework::AsyncResult<std::vector<HostEntry>> override;

private:
    auto send(std::string method, std::string path, std::string body) -> framework::AsyncResult<std::string>;
    auto sendJson(std::string path, const framework::Json& body) -> framework::AsyncResult<framework::Json>;

    framework::HttpClient m_client;
    framework::PlatformSettings m_settings;
    std::string m_dataCentre;
};

} // namespace laburnummill::platform
