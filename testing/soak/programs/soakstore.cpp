#include "testing/soak/programs/soakstore.h"

#include <sstream>

namespace laburnummill::testing {

using framework::Result;
using programs::LoadedProgram;
using programs::ProgramRow;

auto SoakStore::transact(const std::vector<platform::RowChange>& changes) -> Result<std::vector<std::uint64_t>>
{
    return m_tables.transactNow(changes);
}

auto SoakStore::row(const std::string& program) const -> std::optional<platform::Row>
{
    return m_tables.readNow(programs::rowKeyOf(program));
}

auto SoakStore::linesOf(const ProgramRow& row) const -> std::vector<std::string>
{
    auto lines = std::vector<std::string>();
    for (const auto& batch : row.batches) {
        const auto found = m_objects.find(batch);
        auto stream = std::istringstream(found == m_objects.end() ? std::string() : found->second);
        for (auto line = std::string(); std::getline(stream, line);) {
            lines.push_back(line);
        }
    }
    return lines;
}

auto SoakStore::load(const std::string& program) const -> Result<LoadedProgram>
{
    if (down) {
        return platform::PlatformError::Unavailable;
    }
    auto loaded = LoadedProgram();
    if (const auto found = row(program)) {
        loaded.row = programs::rowFromText(found->value);
        loaded.rowVersion = found->version;
        loaded.lines = linesOf(*loaded.row);
    }
    return loaded;
}

} // namespace laburnummill::testing
