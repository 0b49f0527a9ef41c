#pragma once

#include "coordination/internal/participantactions.h"

namespace laburnummill::testing {

/// The table service's rows of views in the memory of a test: linearizable, changed by transaction on the version.
class VirtualStore
{
public:
    auto heads() const -> coordination::Heads;
    auto read(const std::string& dataCentre) const -> coordination::RowState;
    auto write(const coordination::ViewPtr& view, std::uint64_t expected) -> coordination::WriteOutcome;

private:
    std::map<std::string, coordination::RowState> m_rows;
    std::uint64_t m_nextVersion = 1;
};

} // namespace laburnummill::testing
