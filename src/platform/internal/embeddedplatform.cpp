#include "platform/internal/embeddedplatform.h"

namespace laburnummill::platform {

using framework::AsyncResult;
using framework::Result;
using framework::success;

auto EmbeddedPlatform::readNow(const RowKey& key) const -> std::optional<Row>
{
    const auto found = m_rows.find(key);
    return found == m_rows.end() ? std::nullopt : std::optional(found->second);
}

auto EmbeddedPlatform::transactNow(const std::vector<RowChange>& changes) -> Result<std::vector<std::uint64_t>>
{
    for (const auto& change : changes) {
        const auto found = m_rows.find(change.key);
        const auto version = found == m_rows.end() ? s_absent : found->second.version;
        if (change.expected && *change.expected != version) {
            return PlatformError::Conflict;
        }
    }
    auto versions = std::vector<std::uint64_t>();
    for (const auto& change : changes) {
        if (!change.value) {
            m_rows.erase(change.key);
            versions.push_back(s_absent);
            continue;
        }
        const auto version = m_nextVersion++;
        m_rows[change.key] = {change.key, *change.value, version};
        versions.push_back(version);
    }
    return versions;
}

auto EmbeddedPlatform::scanNow(const ScanRequest& request) const -> std::vector<Row>
{
    auto rows = std::vector<Row>();
    const auto first = std::max(request.prefix, request.after);
    for (auto position = m_rows.lower_bound({request.table, first}); position != m_rows.end(); ++position) {
        const auto& [key, row] = *position;
        if (key.table != request.table || !key.key.starts_with(request.prefix) || rows.size() >= request.limit) {
            break;
        }
        if (key.key > request.after || request.after.empty()) {
            rows.push_back(row);
        }
    }
    return rows;
}

auto EmbeddedPlatform::read(std::vector<RowKey> keys) -> AsyncResult<std::vector<std::optional<Row>>>
{
    auto rows = std::vector<std::optional<Row>>();
    for (const auto& key : keys) {
        rows.push_back(readNow(key));
    }
    co_return rows;
}

auto EmbeddedPlatform::transact(std::vector<RowChange> changes) -> AsyncResult<std::vector<std::uint64_t>>
{
    co_return transactNow(changes);
}

auto EmbeddedPlatform::scan(ScanRequest request) -> AsyncResult<std::vector<Row>>
{
    co_return scanNow(request);
}

auto EmbeddedPlatform::put(std::string name, std::string body) -> AsyncResult<void>
{
    m_objects[std::move(name)] = std::move(body);
    co_return success();
}

auto EmbeddedPlatform::read(std::string name) -> AsyncResult<std::string>
{
    const auto found = m_objects.find(name);
    if (found == m_objects.end()) {
        co_return PlatformError::NotFound;
    }
    co_return found->second;
}

auto EmbeddedPlatform::remove(std::string name) -> AsyncResult<void>
{
    m_objects.erase(name);
    co_return success();
}

auto EmbeddedPlatform::list(std::string prefix) -> AsyncResult<std::vector<std::string>>
{
    auto names = std::vector<std::string>();
    for (auto position = m_objects.lower_bound(prefix); position != m_objects.end() && position->first.starts_with(prefix); ++position) {
        names.push_back(position->first);
    }
    co_return names;
}

auto EmbeddedPlatform::hosts() -> AsyncResult<std::vector<HostEntry>>
{
    co_return m_hosts;
}

} // namespace laburnummill::platform
