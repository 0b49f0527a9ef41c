#include "scheduling/internal/policyfactory.h"

#include "scheduling/internal/fairsharepolicy.h"
#include "scheduling/internal/firstcomepolicy.h"

namespace laburnummill::scheduling {

auto makePolicy(const configuration::PolicySettings& settings) -> std::unique_ptr<IPolicy>
{
    if (settings.name == "firstcome") {
        return std::make_unique<FirstComePolicy>();
    }
    if (settings.name == "leastloaded") {
        return std::make_unique<LeastLoadedPolicy>();
    }
    auto weights = FairShareWeights();
    weights.fairness = settings.fairness;
    weights.ageingTokensPerSecond = settings.ageingTokensPerSecond;
    weights.maxBypassTime = framework::Milliseconds(settings.passedAtMostMs);
    weights.placement.prefillMsPerToken = settings.prefillMsPerToken;
    weights.placement.decodeMsPerStep = settings.decodeMsPerStep;
    weights.placement.cacheCapacityTokens = settings.cacheCapacityTokens;
    return std::make_unique<FairSharePolicy>(weights);
}

} // namespace laburnummill::scheduling
