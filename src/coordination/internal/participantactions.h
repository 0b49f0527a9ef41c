#pragma once

#include "coordination/internal/leasemessages.h"

#include <map>
#include <variant>
#include <vector>

namespace laburnummill::coordination {

/// The numbers of all views by data centre, as the store shows them.
using Heads = std::map<std::string, std::uint64_t>;

/// A data centre's row: no view where it does not exist yet.
struct RowState
{
    ViewPtr view;
    std::uint64_t version = 0;
};

/// Nothing where the store did not answer.
using ViewReadResult = std::optional<RowState>;

enum class WriteResult
{
    Written,
    Conflict,
    Unknown, ///< it may or may not have taken effect, or will
};

struct WriteOutcome
{
    WriteResult result = WriteResult::Unknown;
    std::uint64_t version = 0; ///< of the row, where it was written
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
    std::uint64_t expected = 0; ///< version of the row
};

using Action = std::variant<SendMessage, ReadHeads, ReadView, WriteView>;
using Actions = std::vector<Action>;

} // namespace laburnummill::coordination
