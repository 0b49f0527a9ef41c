#pragma once

#include "coordination/internal/leasemessages.h"

#include <map>
#include <variant>
#include <vector>

namespace laburnummill::coordination {

/// View numbers by data centre, as read from the store.
using Heads = std::map<std::string, std::uint64_t>;

/// A data centre's row in the store. The view is null if the row does not exist yet.
struct RowState
{
    ViewPtr view;
    std::uint64_t version = 0;
};

/// Nullopt if the store did not answer or the row is invalid.
using ViewReadResult = std::optional<RowState>;

enum class WriteResult
{
    Written,
    Conflict,
    Unknown, ///< the write may have been applied or may be applied later
};

struct WriteOutcome
{
    WriteResult result = WriteResult::Unknown;
    std::uint64_t version = 0; ///< version of the row if it was written
};

struct SendMessage
{
    framework::Endpoint to;
    LeaseMessage message;
};

struct ReadHeads
{
    std::uint64_t request = 0;
};

struct ReadView
{
    std::uint64_t request = 0;
    std::string dataCentre;
};

struct WriteView
{
    std::uint64_t request = 0;
    ViewPtr view;
    std::uint64_t expected = 0; ///< version that the row must have
};

using Action = std::variant<SendMessage, ReadHeads, ReadView, WriteView>;
using Actions = std::vector<Action>;

} // namespace laburnummill::coordination
