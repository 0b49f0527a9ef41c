#include "administration/internal/auditlog.h"

#include "framework/global/digest.h"

#include <algorithm>

namespace laburnummill::administration {

using framework::Async;
using framework::AsyncResult;
using framework::Json;

namespace {

constexpr auto s_table = "audit";
constexpr auto s_idBytes = std::size_t{4};
constexpr auto s_scanLimit = std::size_t{1'000};
constexpr auto s_maxTimestampMs = std::int64_t{99'999'999'999'999};

/// Keys decrease with time, so that a scan returns the newest entries first.
auto keyAt(std::int64_t milliseconds) -> std::string
{
    return std::to_string(s_maxTimestampMs - milliseconds) + "-" + framework::randomHex(s_idBytes);
}

} // namespace

AuditLog::AuditLog(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<framework::IClock> clock)
    : m_tables(std::move(tables))
    , m_clock(std::move(clock))
{}

auto AuditLog::begin(const OperatorEntry& actor, std::string action, std::string target) -> AsyncResult<std::string>
{
    const auto now = framework::unixMilliseconds(m_clock->wallTime());
    const auto key = keyAt(now);
    const auto entry =
        Json{{"atMs", now}, {"operator", actor.name}, {"team", actor.team}, {"action", action}, {"target", target}, {"outcome", "begun"}};
    const auto written = co_await m_tables->writeOne({{s_table, key}, platform::s_absent, framework::dumpJson(entry)});
    if (written) {
        co_return key;
    }
    //! NOTE The key is unique to this entry: if the row exists, the write succeeded and only its reply was lost.
    const auto readBack = co_await m_tables->readOne({s_table, key});
    if (!readBack || !readBack.value()) {
        co_return AdministrationError::AuditUnavailable;
    }
    co_return key;
}

auto AuditLog::finish(std::string key, std::string outcome) -> Async<void>
{
    const auto row = co_await m_tables->readOne({s_table, key});
    if (!row || !row.value()) {
        co_return;
    }
    auto entry = framework::parseJson(row.value()->value).value_or(Json::object());
    entry["outcome"] = std::move(outcome);
    (void)co_await m_tables->writeOne({row.value()->key, row.value()->version, framework::dumpJson(entry)});
}

auto AuditLog::latest(std::size_t limit, std::string team) -> AsyncResult<Json>
{
    const auto rows = co_await m_tables->scan({s_table, {}, {}, s_scanLimit});
    if (!rows) {
        co_return framework::failure(rows.error());
    }
    auto entries = Json::array();
    for (const auto& row : rows.value()) {
        auto entry = framework::parseJson(row.value).value_or(Json::object());
        if (entries.size() < limit && (team.empty() || framework::stringAt(entry, "team") == team)) {
            entries.push_back(std::move(entry));
        }
    }
    co_return entries;
}

} // namespace laburnummill::administration
