#include "configuration/internal/configurationstore.h"

#include "configuration/iconfiguration.h"
#include "platform/iheads.h"

namespace laburnummill::configuration {

using framework::AsyncResult;
using framework::Json;
using framework::success;
using platform::Row;
using platform::RowKey;

namespace {

constexpr auto s_historyTable = "configuration-history";
constexpr auto s_versionDigits = std::size_t{20};

auto currentKey() -> RowKey
{
    return {"configuration", "current"};
}

/// Keys have equal length, so that they sort in the order of the versions.
auto historyKey(std::uint64_t version) -> RowKey
{
    const auto digits = std::to_string(version);
    return {s_historyTable, std::string(s_versionDigits - digits.size(), '0') + digits};
}

auto documentOf(const std::optional<Row>& row) -> Json
{
    return row ? framework::parseJson(row->value).value_or(Json::object()) : Json::object();
}

auto versionIn(const Json& document) -> std::uint64_t
{
    return static_cast<std::uint64_t>(framework::integerAt(document, "version"));
}

auto recordOf(const Json& document) -> ConfigurationRecord
{
    return {versionIn(document), framework::integerAt(document, "acceptedAt"), document.value("document", Json::object())};
}

} // namespace

ConfigurationStore::ConfigurationStore(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<framework::IClock> clock)
    : m_tables(std::move(tables))
    , m_clock(std::move(clock))
{}

auto ConfigurationStore::readCurrent() -> AsyncResult<std::optional<Json>>
{
    BOOST_OUTCOME_CO_TRY(const auto row, co_await m_tables->readOne(currentKey()));
    co_return row ? std::optional<Json>(documentOf(row)) : std::nullopt;
}

auto ConfigurationStore::readSnapshot(std::uint64_t successor) -> AsyncResult<AttemptSnapshot>
{
    auto keys = std::vector<RowKey>();
    keys.push_back(currentKey());
    keys.push_back(historyKey(successor));
    BOOST_OUTCOME_CO_TRY(const auto rows, co_await m_tables->read(std::move(keys)));
    if (rows.size() != 2) {
        co_return platform::PlatformError::Malformed;
    }
    auto snapshot = AttemptSnapshot();
    snapshot.current = documentOf(rows[0]);
    snapshot.stored.version = versionIn(snapshot.current);
    snapshot.stored.rowVersion = rows[0] ? rows[0]->version : platform::s_absent;
    snapshot.stored.successorChangeId = framework::stringAt(documentOf(rows[1]), "change");
    co_return snapshot;
}

auto ConfigurationStore::write(Json document, const ChangeAttempt& attempt) -> AsyncResult<void>
{
    const auto version = attempt.version();
    const auto acceptedAt = framework::unixMilliseconds(m_clock->wallTime());
    const auto record = Json{{"version", version}, {"change", attempt.changeId()}, {"acceptedAt", acceptedAt}, {"document", document}};
    auto changes = std::vector<platform::RowChange>();
    changes.push_back({currentKey(), attempt.expectedRowVersion(), framework::dumpJson(document)});
    changes.push_back(platform::headChange(std::string(s_configurationDocument), version));
    changes.push_back({historyKey(version), std::nullopt, framework::dumpJson(record)});
    if (version > s_retainedVersions) {
        changes.push_back({historyKey(version - s_retainedVersions), std::nullopt, std::nullopt});
    }
    BOOST_OUTCOME_CO_TRYV(co_await m_tables->transact(std::move(changes)));
    co_return success();
}

auto ConfigurationStore::records() -> AsyncResult<std::vector<ConfigurationRecord>>
{
    BOOST_OUTCOME_CO_TRY(const auto rows, co_await m_tables->scan({s_historyTable, {}, {}, s_retainedVersions}));
    auto records = std::vector<ConfigurationRecord>();
    for (const auto& row : rows) {
        records.push_back(recordOf(documentOf(row)));
    }
    co_return records;
}

auto ConfigurationStore::record(std::uint64_t version) -> AsyncResult<ConfigurationRecord>
{
    BOOST_OUTCOME_CO_TRY(const auto row, co_await m_tables->readOne(historyKey(version)));
    if (!row) {
        co_return ConfigurationError::VersionUnknown;
    }
    co_return recordOf(documentOf(row));
}

} // namespace laburnummill::configuration
