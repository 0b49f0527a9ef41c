#include "calls/internal/outcomes.h"

#include "framework/logging/log.h"

namespace laburnummill::calls {

using framework::AsyncResult;
using framework::success;

namespace {

constexpr auto s_pageRows = std::size_t{1'000};

} // namespace

Outcomes::Outcomes(std::shared_ptr<IntentStore> store, std::shared_ptr<ExecutorDirectory> executors)
    : m_store(std::move(store))
    , m_executors(std::move(executors))
{}

auto Outcomes::isUnknown(const IntentRecord& record) const -> bool
{
    return record.state == IntentState::Unknown ||
           (record.state == IntentState::Started && m_executors->executorStatusOf(record) == ExecutorStatus::Terminated);
}

auto Outcomes::list(std::string after) -> AsyncResult<std::vector<UnknownOutcome>>
{
    BOOST_OUTCOME_CO_TRY(const auto openCalls, co_await m_store->listOpen(std::move(after), s_pageRows));
    auto outcomes = std::vector<UnknownOutcome>();
    for (const auto& [record, version] : openCalls) {
        if (isUnknown(record)) {
            outcomes.push_back({record.key.account, record.key.keyHash, record.attempt, record.executor.host, record.startedAtMs});
        }
    }
    co_return outcomes;
}

auto Outcomes::settle(std::string account, std::string keyHash, Finding finding, std::string operatorName, std::string reason)
    -> AsyncResult<void>
{
    const auto key = IntentKey{std::move(account), std::move(keyHash)};
    const auto read = co_await m_store->read(key);
    if (read.status != StoreStatus::Done) {
        co_return CallError::RecordUnavailable;
    }
    if (!read.stored) {
        co_return CallError::OutcomeNotUnknown;
    }
    auto record = read.stored->record;
    if (!isUnknown(record)) {
        co_return record.state == IntentState::Started ? CallError::ExecutorAlive : CallError::OutcomeNotUnknown;
    }
    record.state = finding == Finding::Ran ? IntentState::Ran : IntentState::Released;
    record.resolvedBy = std::move(operatorName);
    record.reason = std::move(reason);
    const auto written = co_await m_store->write(key, record, read.stored->version);
    if (written.status != StoreStatus::Done) {
        co_return CallError::RecordUnavailable;
    }
    framework::logEvent(framework::LogLevel::Info, "calls", "outcome_settled",
                        {{"account", key.account}, {"finding", intentStateName(record.state)}, {"by", record.resolvedBy}});
    co_return success();
}

} // namespace laburnummill::calls
