#pragma once

#include "calls/internal/executordirectory.h"
#include "calls/internal/intentstore.h"
#include "calls/ioutcomes.h"

namespace laburnummill::calls {

/// Lists and settles unknown outcomes in the intent records.
class Outcomes final : public IOutcomes
{
public:
    Outcomes(std::shared_ptr<IntentStore> store, std::shared_ptr<ExecutorDirectory> executors);

    auto list(std::string after) -> framework::AsyncResult<std::vector<UnknownOutcome>> override;
    auto settle(std::string account, std::string keyHash, Finding finding, std::string who, std::string why)
        -> framework::AsyncResult<void> override;

private:
    auto isUnknown(const IntentRecord& record) const -> bool;

    std::shared_ptr<IntentStore> m_store;
    std::shared_ptr<ExecutorDirectory> m_executors;
};

} // namespace laburnummill::calls
