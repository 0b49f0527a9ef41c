#include "administration/internal/operators.h"

#include "framework/global/digest.h"
#include "framework/global/json.h"

namespace laburnummill::administration {

using framework::AsyncResult;
using framework::Json;
using framework::success;

namespace {

constexpr auto s_table = "operators";
constexpr auto s_scanLimit = std::size_t{1'000};

auto entryOf(const platform::Row& row) -> OperatorEntry
{
    const auto document = framework::parseJson(row.value).value_or(Json::object());
    return {row.key.key, framework::stringAt(document, "name"),
            roleFromName(framework::stringAt(document, "role")).value_or(OperatorRole::Viewer), framework::stringAt(document, "team")};
}

} // namespace

Operators::Operators(std::shared_ptr<platform::ITableService> tables, std::string firstKeyHash)
    : m_tables(std::move(tables))
    , m_firstKeyHash(std::move(firstKeyHash))
{}

auto Operators::authenticate(std::string key) -> AsyncResult<OperatorEntry>
{
    if (key.empty()) {
        co_return AdministrationError::KeyMissing;
    }
    const auto hash = framework::sha256Hex(key);
    if (!m_firstKeyHash.empty() && hash == m_firstKeyHash) {
        co_return OperatorEntry{hash, "first-administrator", OperatorRole::Administrator, {}};
    }
    const auto row = co_await m_tables->readOne({s_table, hash});
    if (!row) {
        const auto known = m_cachedEntries.find(hash);
        if (known == m_cachedEntries.end()) {
            co_return row.error();
        }
        co_return known->second;
    }
    if (!row.value()) {
        m_cachedEntries.erase(hash);
        co_return AdministrationError::KeyUnknown;
    }
    m_cachedEntries[hash] = entryOf(*row.value());
    co_return m_cachedEntries[hash];
}

auto Operators::list() -> AsyncResult<std::vector<OperatorEntry>>
{
    BOOST_OUTCOME_CO_TRY(const auto rows, co_await m_tables->scan({s_table, {}, {}, s_scanLimit}));
    auto entries = std::vector<OperatorEntry>();
    for (const auto& row : rows) {
        entries.push_back(entryOf(row));
    }
    co_return entries;
}

auto Operators::issue(OperatorEntry entry) -> AsyncResult<void>
{
    const auto value = Json{{"name", entry.name}, {"role", roleName(entry.role)}, {"team", entry.team}};
    BOOST_OUTCOME_CO_TRYV(co_await m_tables->writeOne({{s_table, entry.keyHash}, std::nullopt, framework::dumpJson(value)}));
    co_return success();
}

auto Operators::withdraw(std::string keyHash) -> AsyncResult<void>
{
    BOOST_OUTCOME_CO_TRY(const auto row, co_await m_tables->readOne({s_table, keyHash}));
    if (!row) {
        co_return AdministrationError::OperatorUnknown;
    }
    BOOST_OUTCOME_CO_TRYV(co_await m_tables->writeOne({row->key, row->version, std::nullopt}));
    m_cachedEntries.erase(keyHash);
    co_return success();
}

} // namespace laburnummill::administration
