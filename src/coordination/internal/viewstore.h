#pragma once

#include "coordination/internal/participantactions.h"
#include "platform/itableservice.h"

namespace laburnummill::coordination {

/// Stores views in the table service. Each data centre has a row with its view and a small head row with the view number only,
/// which keeps reads of all numbers small.
class ViewStore
{
public:
    explicit ViewStore(std::shared_ptr<platform::ITableService> tables);

    /// Returns nullopt if the store did not answer.
    auto readHeads() -> framework::Async<std::optional<Heads>>;

    /// Returns nullopt if the store did not answer or the row is invalid, and an empty state if there is no row.
    auto readView(std::string dataCentre) -> framework::Async<ViewReadResult>;

    /// Writes the view and its head in one transaction if the row has version `expected`.
    auto writeView(ViewPtr view, std::uint64_t expected) -> framework::Async<WriteOutcome>;

private:
    std::shared_ptr<platform::ITableService> m_tables;
};

} // namespace laburnummill::coordination
