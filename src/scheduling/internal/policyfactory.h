#pragma once

#include "configuration/configurationtypes.h"
#include "scheduling/internal/ipolicy.h"

namespace laburnummill::scheduling {

/// Creates the policy named in the configuration, with the configured weights.
auto makePolicy(const configuration::PolicySettings& settings) -> std::unique_ptr<IPolicy>;

} // namespace laburnummill::scheduling
