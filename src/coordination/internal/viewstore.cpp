#include "coordination/internal/viewstore.h"

#include "platform/iheads.h"

namespace laburnummill::coordination {

using framework::Async;
using framework::Json;
using platform::PlatformError;

namespace {

constexpr auto s_viewsTable = "views";
constexpr auto s_headPrefix = std::string_view("view/");

} // namespace

ViewStore::ViewStore(std::shared_ptr<platform::ITableService> tables)
    : m_tables(std::move(tables))
{}

auto ViewStore::readHeads() -> Async<std::optional<Heads>>
{
    const auto rows = co_await m_tables->scan({std::string(platform::s_headsTable), std::string(s_headPrefix), {}});
    if (!rows) {
        co_return std::nullopt;
    }
    auto heads = Heads();
    for (const auto& row : rows.value()) {
        const auto document = framework::parseJson(row.value).value_or(Json::object());
        heads[row.key.key.substr(s_headPrefix.size())] = static_cast<std::uint64_t>(framework::integerAt(document, "version"));
    }
    co_return heads;
}

auto ViewStore::readView(std::string dataCentre) -> Async<ViewReadResult>
{
    const auto row = co_await m_tables->readOne({s_viewsTable, std::move(dataCentre)});
    if (!row) {
        co_return std::nullopt;
    }
    if (!row.value()) {
        co_return RowState{};
    }
    auto view = viewFromJson(framework::parseJson(row.value()->value).value_or(Json::object()));
    if (!view) {
        co_return std::nullopt;
    }
    co_return RowState{std::make_shared<const View>(std::move(*view)), row.value()->version};
}

auto ViewStore::writeView(ViewPtr view, std::uint64_t expected) -> Async<WriteOutcome>
{
    auto changes = std::vector<platform::RowChange>();
    changes.push_back({{s_viewsTable, view->dataCentre}, expected, framework::dumpJson(toJson(*view))});
    changes.push_back(platform::headChange(std::string(s_headPrefix) + view->dataCentre, view->number));
    const auto versions = co_await m_tables->transact(std::move(changes));
    if (versions) {
        co_return WriteOutcome{WriteResult::Written, versions.value().front()};
    }
    co_return WriteOutcome{versions.error() == PlatformError::Conflict ? WriteResult::Conflict : WriteResult::Unknown, 0};
}

} // namespace laburnummill::coordination
