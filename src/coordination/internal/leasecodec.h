#pragma once

#include "coordination/internal/leasemessages.h"

#include <string>

namespace laburnummill::coordination {

auto toWire(const LeaseMessage& message) -> std::string;

/// Returns nullopt if `bytes` is not a valid message of this protocol.
auto fromWire(const std::string& bytes) -> std::optional<LeaseMessage>;

} // namespace laburnummill::coordination
