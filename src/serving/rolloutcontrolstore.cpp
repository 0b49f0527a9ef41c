#include "serving/rolloutcontrol.h"

#include "framework/global/json.h"

#include <boost/asio/use_awaitable.hpp>

// State of rollouts in the store.

namespace laburnummill::serving {

namespace {

using framework::Async;
using framework::Json;
using framework::Milliseconds;
using rollouts::RolloutProgress;
using rollouts::RolloutReason;
using rollouts::RolloutStage;

const auto s_table = std::string("rollouts");

/// More than the services of any deployment.
constexpr auto s_maxRows = 500;

auto rowOf(const std::string& service) -> store::RowAddress
{
    return {.table = s_table, .partition = {}, .key = service};
}

auto listOf(const std::string& service) -> store::ListRequest
{
    const auto address = rowOf(service);
    return {.table = address.table, .partition = address.partition, .from = address.key, .to = address.key + '!', .limit = 1};
}

auto encode(const RolloutProgress& progress) -> std::string
{
    auto document = Json{{"order", progress.order},
                         {"version", progress.version},
                         {"stage", framework::nameOf(rollouts::s_rolloutStageNames, progress.stage)},
                         {"reason", framework::nameOf(rollouts::s_rolloutReasonNames, progress.reason)},
                         {"durationMs", progress.duration.count()},
                         {"startedAt", progress.startedAt},
                         {"refusedOrder", progress.refusedOrder},
                         {"refusedVersion", progress.refusedVersion}};
    if (progress.formerVersion) {
        document["formerVersion"] = *progress.formerVersion;
    }
    return framework::dumpJson(document);
}

auto decode(const store::Row& row) -> std::optional<RolloutProgress>
{
    const auto document = framework::parseJson(row.value);
    const auto stage = document ? framework::valueOf(rollouts::s_rolloutStageNames, framework::stringAt(*document, "stage")) : std::nullopt;
    const auto reason =
        document ? framework::valueOf(rollouts::s_rolloutReasonNames, framework::stringAt(*document, "reason")) : std::nullopt;
    if (!stage || !reason) {
        return std::nullopt;
    }
    return RolloutProgress{.order = static_cast<std::uint64_t>(framework::integerAt(*document, "order")),
                           .version = framework::stringAt(*document, "version"),
                           .stage = *stage,
                           .reason = *reason,
                           .rowVersion = row.version,
                           .formerVersion = document->contains("formerVersion")
                                                ? std::optional(framework::stringAt(*document, "formerVersion"))
                                                : std::nullopt,
                           .duration = Milliseconds(framework::integerAt(*document, "durationMs")),
                           .startedAt = framework::integerAt(*document, "startedAt"),
                           .refusedOrder = static_cast<std::uint64_t>(framework::integerAt(*document, "refusedOrder")),
                           .refusedVersion = framework::stringAt(*document, "refusedVersion")};
}

} // namespace

auto RolloutControl::readAllRows() -> Async<void>
{
    const auto page = co_await m_store.list({.table = s_table, .partition = {}, .from = {}, .to = {}, .limit = s_maxRows});
    m_isReadingRows = false;
    m_areRowsRead = page.has_value();
    if (!page) {
        co_return;
    }
    for (const auto& row : page.value().rows) {
        if (const auto progress = decode(row)) {
            adopt(row.address.key, rolloutOf(row.address.key), *progress, "store");
        }
    }
}

auto RolloutControl::readRow(std::string service) -> Async<void>
{
    const auto page = co_await m_store.list(listOf(service));
    auto& rollout = m_rollouts[service];
    rollout.isWriting = false;
    if (!page || rollout.progress) {
        co_return;
    }
    const auto found = page.value().rows.empty() ? std::nullopt : decode(page.value().rows.front());
    if (found) {
        adopt(service, rollout, *found, "store");
    }
    if (!rollout.progress && isDue(service, rollout.changeDueSince, s_standInDelay)) {
        rollout.isWriting = true;
        const auto rowVersion = page.value().rows.empty() ? store::s_absentRow : page.value().rows.front().version;
        co_await write(service, {.order = rollout.order.number,
                                 .version = rollout.order.version,
                                 .stage = RolloutStage::Waiting,
                                 .reason = RolloutReason::Ordered,
                                 .rowVersion = rowVersion,
                                 .formerVersion = rollout.filter.servingVersion(),
                                 .duration = rollout.order.duration,
                                 .startedAt = framework::unixMilliseconds(m_clock.wallTime())});
    }
}

auto RolloutControl::write(std::string service, RolloutProgress next) -> Async<void>
{
    const auto address = rowOf(service);
    auto transaction = store::Transaction();
    transaction.conditions.push_back({.address = address, .version = next.rowVersion});
    transaction.puts.push_back({.address = address, .value = encode(next)});
    transaction.puts.push_back(m_rows.rolloutStatus({.service = service,
                                                     .version = next.version,
                                                     .stage = next.stage,
                                                     .reason = next.reason,
                                                     .refusedVersion = next.refusedVersion,
                                                     .hasRefusedOrder = next.refusedOrder > 0}));
    const auto reply = co_await m_store.transact(std::move(transaction));
    auto& rollout = m_rollouts[service];
    if (!reply) {
        m_metrics.count("rollout_writes_failed");
        // The write may have been applied. If the row cannot be read either, the next update writes again, under the same condition.
        const auto page = co_await m_store.list(listOf(service));
        const auto found = page && !page.value().rows.empty() ? decode(page.value().rows.front()) : std::nullopt;
        rollout.isWriting = false;
        if (found) {
            adopt(service, rollout, *found, "store");
        }
        co_return;
    }
    rollout.isWriting = false;
    if (reply.value().isApplied) {
        next.rowVersion = reply.value().version;
        adopt(service, rollout, next, "own");
        co_return;
    }
    const auto& rows = reply.value().currentRows;
    const auto current = rows.empty() ? std::nullopt : decode(rows.front());
    if (current) {
        adopt(service, rollout, *current, "store");
    }
}

} // namespace laburnummill::serving
