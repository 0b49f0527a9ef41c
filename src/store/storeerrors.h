#pragma once

#include <system_error>

namespace laburnummill::store {

/// Failures of a call to the platform's store.
enum class StoreError
{
    Unavailable = 1, ///< refused by the store: nothing was done
    Overloaded,      ///< over the store's rates: nothing was done
    OutcomeUnknown,  ///< no answer: a write may have taken effect, or may yet
    HistoryGone,     ///< changes since the version asked for are no longer kept
    Malformed,       ///< the answer cannot be read
    Rejected,        ///< the call itself is at fault
};

auto make_error_code(StoreError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::store

template<>
struct std::is_error_code_enum<laburnummill::store::StoreError> : std::true_type
{};
