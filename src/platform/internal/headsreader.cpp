#include "platform/internal/headsreader.h"

#include "framework/global/json.h"

namespace laburnummill::platform {

using framework::Json;

namespace {

auto headKey(const std::string& name) -> RowKey
{
    return {std::string(s_headsTable), name};
}

auto versionIn(const std::optional<Row>& row) -> std::uint64_t
{
    const auto document = row ? framework::parseJson(row->value).value_or(Json::object()) : Json::object();
    return static_cast<std::uint64_t>(framework::integerAt(document, "version"));
}

} // namespace

auto headChange(std::string name, std::uint64_t version) -> RowChange
{
    return {headKey(name), std::nullopt, framework::dumpJson({{"version", version}})};
}

auto HeadsReader::watch(std::string name, std::function<void(std::uint64_t)> handler) -> void
{
    m_watches.push_back({std::move(name), std::move(handler)});
}

auto HeadsReader::readAll() -> framework::Async<void>
{
    const auto watches = m_watches;
    auto keys = std::vector<RowKey>();
    for (const auto& watch : watches) {
        keys.push_back(headKey(watch.name));
    }
    if (keys.empty()) {
        co_return;
    }
    const auto rows = co_await m_tables->read(std::move(keys));
    if (!rows || rows.value().size() != watches.size()) {
        co_return;
    }
    for (auto index = std::size_t{0}; index < watches.size(); ++index) {
        watches[index].handler(versionIn(rows.value()[index]));
    }
}

} // namespace laburnummill::platform
