#pragma once

#include "platform/ihostlist.h"
#include "platform/iobjectstore.h"
#include "platform/itableservice.h"

#include <map>

namespace laburnummill::platform {

/// The platform's services in the memory of one process: for `--embedded` and for tests.
class EmbeddedPlatform final : public ITableService, public IObjectStore, public IHostList
{
public:
    auto read(std::vector<RowKey> keys) -> framework::AsyncResult<std::vector<std::optional<Row>>> override;
    auto transact(std::vector<RowChange> changes) -> framework::AsyncResult<std::vector<std::uint64_t>> override;
    auto scan(ScanRequest request) -> framework::AsyncResult<std::vector<Row>> override;

    auto put(std::string name, std::string body) -> framework::AsyncResult<void> override;
    auto read(std::string name) -> framework::AsyncResult<std::string> override;
    auto remove(std::string name) -> framework::AsyncResult<void> override;
    auto list(std::string prefix) -> framework::AsyncResult<std::vector<std::string>> override;

    auto hosts() -> framework::AsyncResult<std::vector<HostEntry>> override;

    /// The same operations without suspension, for decision objects on virtual time.
    auto readNow(const RowKey& key) const -> std::optional<Row>;
    auto transactNow(const std::vector<RowChange>& changes) -> framework::Result<std::vector<std::uint64_t>>;
    auto scanNow(const ScanRequest& request) const -> std::vector<Row>;

    auto setHosts(std::vector<HostEntry> hosts) -> void { m_hosts = std::move(hosts); }

private:
    std::map<RowKey, Row> m_rows;
    std::map<std::string, std::string> m_objects;
    std::vector<HostEntry> m_hosts;
    std::uint64_t m_nextVersion = 1;
};

} // namespace laburnummill::platform
