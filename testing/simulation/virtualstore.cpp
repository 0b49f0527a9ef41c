#include "testing/simulation/virtualstore.h"

namespace laburnummill::testing {

using coordination::WriteResult;

auto VirtualStore::heads() const -> coordination::Heads
{
    auto heads = coordination::Heads();
    for (const auto& [dataCentre, row] : m_rows) {
        heads[dataCentre] = row.view->number;
    }
    return heads;
}

auto VirtualStore::read(const std::string& dataCentre) const -> coordination::RowState
{
    const auto found = m_rows.find(dataCentre);
    return found == m_rows.end() ? coordination::RowState{} : found->second;
}

auto VirtualStore::write(const coordination::ViewPtr& view, std::uint64_t expected) -> coordination::WriteOutcome
{
    auto& row = m_rows[view->dataCentre];
    if (row.version != expected) {
        return {WriteResult::Conflict, 0};
    }
    row = {view, m_nextVersion++};
    return {WriteResult::Written, row.version};
}

} // namespace laburnummill::testing
