#pragma once

#include "coordination/internal/participantactions.h"
#include "platform/itableservice.h"

namespace laburnummill::coordination {

/// The rows of views in the table service: a row a data centre, and beside it a small one with the number alone,
/// so that a read of all numbers stays small.
class ViewStore
{
public:
    explicit ViewStore(std::shared_ptr<platform::ITableService> tables);

    /// Nothing where the store did not answer.
    auto readHeads() -> framework::Async<std::optional<Heads>>;
    auto readView(std::string dataCentre) -> framework::Async<ViewReadResult>;
    auto writeView(ViewPtr view, std::uint64_t expected) -> framework::Async<WriteOutcome>;

private:
    std::shared_ptr<platform::ITableService> m_tables;
};

} // namespace laburnummill::coordination
