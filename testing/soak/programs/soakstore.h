#pragma once

#include "platform/internal/embeddedplatform.h"
#include "programs/internal/owneractions.h"

#include <map>

namespace laburnummill::testing {

/// The platform as the soak needs it: can be down, loses answers, applies writes late.
class SoakStore
{
public:
    bool down = false;

    auto put(const std::string& name, const std::string& body) -> void { m_objects[name] = body; }
    auto transact(const std::vector<platform::RowChange>& changes) -> framework::Result<std::vector<std::uint64_t>>;
    auto row(const std::string& program) const -> std::optional<platform::Row>;

    /// The row and all lines of its batches; Unavailable while down.
    auto load(const std::string& program) const -> framework::Result<programs::LoadedProgram>;

    /// Lines of the batches that the row names, whether down or not.
    auto linesOf(const programs::ProgramRow& row) const -> std::vector<std::string>;

private:
    platform::EmbeddedPlatform m_tables;
    std::map<std::string, std::string> m_objects;
};

} // namespace laburnummill::testing
