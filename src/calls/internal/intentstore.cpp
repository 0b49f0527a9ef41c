#include "calls/internal/intentstore.h"

namespace laburnummill::calls {

using framework::Async;
using framework::AsyncResult;
using platform::PlatformError;

namespace {

constexpr auto s_intentsTable = "intents";
constexpr auto s_openTable = "intents_open";

auto statusOf(const std::error_code& error) -> StoreStatus
{
    if (error == PlatformError::Conflict) {
        return StoreStatus::Conflict;
    }
    if (error == PlatformError::Unavailable || error == PlatformError::TooManyRequests) {
        return StoreStatus::Unavailable;
    }
    return StoreStatus::Unknown;
}

auto isOpen(const std::optional<IntentRecord>& record) -> bool
{
    return record && (record->state == IntentState::Started || record->state == IntentState::Unknown);
}

auto storedFrom(const platform::Row& row) -> StoredIntent
{
    return {intentFromJson(framework::parseJson(row.value).value_or(framework::Json::object())), row.version};
}

} // namespace

IntentStore::IntentStore(std::shared_ptr<platform::ITableService> tables)
    : m_tables(std::move(tables))
{}

auto IntentStore::write(IntentKey key, std::optional<IntentRecord> record, std::uint64_t expected) -> Async<RecordWritten>
{
    auto value = record ? std::optional(framework::dumpJson(toJson(*record))) : std::nullopt;
    auto openValue = isOpen(record) ? std::optional<std::string>("{}") : std::nullopt;
    auto changes = std::vector<platform::RowChange>();
    changes.push_back({{s_intentsTable, key.rowKey()}, expected, std::move(value)});
    changes.push_back({{s_openTable, key.rowKey()}, std::nullopt, std::move(openValue)});
    const auto versions = co_await m_tables->transact(std::move(changes));
    if (!versions) {
        co_return RecordWritten{statusOf(versions.error()), 0};
    }
    co_return RecordWritten{StoreStatus::Done, versions.value().front()};
}

auto IntentStore::read(IntentKey key) -> Async<RecordRead>
{
    const auto row = co_await m_tables->readOne({s_intentsTable, key.rowKey()});
    if (!row) {
        co_return RecordRead{StoreStatus::Unavailable, std::nullopt, {}};
    }
    if (!row.value()) {
        co_return RecordRead{StoreStatus::Done, std::nullopt, {}};
    }
    co_return RecordRead{StoreStatus::Done, storedFrom(*row.value()), {}};
}

auto IntentStore::listOpen(std::string after, std::size_t limit) -> AsyncResult<std::vector<StoredIntent>>
{
    BOOST_OUTCOME_CO_TRY(const auto indexed, co_await m_tables->scan({s_openTable, {}, std::move(after), limit}));
    auto keys = std::vector<platform::RowKey>();
    for (const auto& row : indexed) {
        keys.push_back({s_intentsTable, row.key.key});
    }
    auto intents = std::vector<StoredIntent>();
    if (keys.empty()) {
        co_return intents;
    }
    BOOST_OUTCOME_CO_TRY(const auto rows, co_await m_tables->read(std::move(keys)));
    for (const auto& row : rows) {
        if (row) {
            intents.push_back(storedFrom(*row));
        }
    }
    co_return intents;
}

} // namespace laburnummill::calls
