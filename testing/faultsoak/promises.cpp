#include "promises.h"

#include "framework/global/digest.h"
#include "framework/global/nametable.h"

#include <algorithm>

#include <fmt/format.h>

namespace laburnummill::testing {

namespace {

using framework::Instant;
using framework::Milliseconds;

constexpr auto s_promiseNames = framework::NameTable<Promise, 14>{{
    {Promise::RunsOnce, "runs_once"},
    {Promise::TrueRefusal, "true_refusal"},
    {Promise::WholeAnswer, "whole_answer"},
    {Promise::History, "history"},
    {Promise::Budget, "budget"},
    {Promise::KnownTurn, "known_turn"},
    {Promise::Rate, "rate"},
    {Promise::OwnAccount, "own_account"},
    {Promise::NothingUnsent, "nothing_unsent"},
    {Promise::Recovers, "recovers"},
    {Promise::DrainedServer, "drained_server"},
    {Promise::StopsClean, "stops_clean"},
    {Promise::KeepsRunning, "keeps_running"},
    {Promise::GracefulStop, "graceful_stop"},
}};

/// The sites' window, and what may be above the limit within it.
constexpr auto s_rateWindow = Milliseconds(5'000);
constexpr auto s_rateOverage = 0.1;
constexpr auto s_rateSlack = 20.0;

/// How long turns are kept, as the route of the fleet's configuration states it.
constexpr auto s_retention = std::chrono::seconds(60);

constexpr auto s_mostEvents = 2;

/// Statuses that promise that the request did not run.
auto saysNotRun(unsigned status) -> bool
{
    return status == 402 || status == 408 || status == 421 || status == 429 || status == 503;
}

auto isSuccess(unsigned status) -> bool
{
    return status >= 200 && status < 300;
}

} // namespace

auto nameOf(Promise promise) -> std::string_view
{
    return framework::nameOf(s_promiseNames, promise);
}

Promises::Promises(std::map<std::string, AccountLimit> limits, Milliseconds gracePeriod)
    : m_limits(std::move(limits))
    , m_stops(gracePeriod)
{}

auto Promises::broken(Promise promise, std::string detail) -> void
{
    m_violations.push_back({.promise = promise, .detail = std::move(detail)});
}

auto Promises::eventsOf(const std::string& id) const -> std::vector<std::string>
{
    const auto known = m_attempts.find(id);
    if (known != m_attempts.end() && !known->second.attempt.continues.empty()) {
        return eventsOf(known->second.attempt.continues);
    }
    const auto most = known == m_attempts.end() ? s_tokensPerEvent : known->second.attempt.most;
    const auto limit = std::clamp<std::uint64_t>(most / s_tokensPerEvent, 1, s_mostEvents);
    const auto count = 1 + framework::hash64(id) % limit;
    auto events = std::vector<std::string>();
    for (auto number = std::uint64_t{1}; number <= count; ++number) {
        events.push_back(fmt::format("{} says {}", id, number));
    }
    return events;
}

auto Promises::bodyOf(const std::string& id) -> std::string
{
    return "answer to " + id;
}

auto Promises::sent(const Attempt& attempt) -> void
{
    m_attempts[attempt.id].attempt = attempt;
}

auto Promises::reached(const std::string& id, int host, Instant now) -> void
{
    auto& known = m_attempts.at(id);
    known.host = host;
    known.reachedAt = now;
}

auto Promises::historyOf(const std::string& turn) const -> std::string
{
    const auto known = m_attempts.find(turn);
    if (known == m_attempts.end()) {
        return {};
    }
    auto history = historyOf(known->second.attempt.previousTurn) + known->second.attempt.input;
    for (const auto& data : eventsOf(turn)) {
        history += data + '\n';
    }
    return history;
}

auto Promises::ran(const std::string& id, const std::string& account, const std::string& body, bool showsKey, Instant now, int engine)
    -> void
{
    const auto found = m_attempts.find(id);
    if (found == m_attempts.end()) {
        broken(Promise::NothingUnsent, id);
        return;
    }
    auto& known = found->second;
    known.engines.insert(engine);
    if (++known.runs > 1 && !known.attempt.mayRepeat) {
        broken(Promise::RunsOnce, fmt::format("{} ran {} times", id, known.runs));
    }
    if (known.isRefused) {
        broken(Promise::TrueRefusal, id + " ran after its refusal");
    }
    if (account != known.attempt.account || showsKey) {
        broken(Promise::OwnAccount, fmt::format("{} of {} ran as {}", id, known.attempt.account, account));
    }
    if (body != historyOf(known.attempt.previousTurn) + known.attempt.input) {
        broken(Promise::History, id);
    }
    m_runs[account].push_back({.at = now, .id = id});
    checkRate(account, now);
}

auto Promises::checkRate(const std::string& account, Instant now) -> void
{
    const auto limit = m_limits.find(account);
    auto& runs = m_runs[account];
    while (runs.front().at < now - s_rateWindow) {
        runs.pop_front();
    }
    if (limit == m_limits.end()) {
        return;
    }
    const auto seconds = std::chrono::duration<double>(s_rateWindow).count();
    const auto most = (limit->second.perSecond * seconds + limit->second.burst) * (1 + s_rateOverage) + s_rateSlack;
    if (static_cast<double>(runs.size()) > most && m_overRate.insert(account).second) {
        auto requests = std::set<std::string>();
        auto sentBefore = 0;
        for (const auto& run : runs) {
            const auto& reachedAt = m_attempts.at(run.id).reachedAt;
            sentBefore += reachedAt != Instant{} && reachedAt < now - s_rateWindow ? 1 : 0;
            requests.insert(run.id);
        }
        broken(Promise::Rate, fmt::format("{}: {} in a window of at most {}; {} requests, {} runs of those sent before it", account,
                                          runs.size(), most, requests.size(), sentBefore));
    }
}

auto Promises::ended(const std::string& id, const Got& got, Instant now) -> void
{
    auto& known = m_attempts.at(id);
    ++m_statuses[got.isWhole ? got.status : 0];
    checkStop(known, got, now);
    if (saysNotRun(got.status)) {
        known.isRefused = true;
        if (known.runs > 0 && !known.attempt.mayRepeat) {
            broken(Promise::TrueRefusal, fmt::format("{} had run and was answered {}", id, got.status));
        }
    }
    if (got.status == 404 || got.status == 410) {
        const auto previous = m_attempts.find(known.attempt.previousTurn);
        const auto answeredAt = previous == m_attempts.end() ? Instant{} : previous->second.answeredWholeAt;
        if (answeredAt != Instant{} && now < answeredAt + s_retention) {
            broken(Promise::KnownTurn, fmt::format("{} after {}: {}", id, known.attempt.previousTurn, got.status));
        }
    }
    if (!isSuccess(got.status)) {
        return;
    }
    checkBudget(known.attempt, got.body);
    checkAnswer(known, got);
    if (got.isWhole) {
        ++m_answered;
        known.answeredWholeAt = now;
    }
}

auto Promises::checkBudget(const Attempt& attempt, const std::string& body) -> void
{
    if (attempt.program.empty()) {
        return;
    }
    auto events = std::uint64_t{0};
    for (auto at = body.find("data: "); at != std::string::npos; at = body.find("data: ", at + 1)) {
        ++events;
    }
    auto& handedOut = m_handedOut[attempt.program];
    handedOut += events * s_tokensPerEvent;
    if (handedOut > attempt.budget + attempt.most) {
        broken(Promise::Budget, fmt::format("{}: {} tokens of {} + {}", attempt.program, handedOut, attempt.budget, attempt.most));
    }
}

auto Promises::checkStop(const Known& known, const Got& got, Instant now) -> void
{
    if (!known.host) {
        return;
    }
    const auto failure = m_stops.failureOf({.host = *known.host,
                                            .sentAt = known.reachedAt,
                                            .endedAt = now,
                                            .engines = known.engines,
                                            .hasBegun = got.status != 0,
                                            .isWhole = got.isWhole});
    if (failure) {
        broken(Promise::GracefulStop, fmt::format("{}: {}", known.attempt.id, *failure));
    }
}

auto Promises::checkAnswer(const Known& known, const Got& got) -> void
{
    const auto& attempt = known.attempt;
    auto expected = std::string();
    if (attempt.program.empty()) {
        expected = bodyOf(attempt.id);
    } else {
        auto number = 0;
        for (const auto& data : eventsOf(attempt.id)) {
            if (++number > attempt.lastEvent) {
                expected += fmt::format("id: {}\ndata: {}\n\n", number, data);
            }
        }
    }
    const auto isRight = got.isWhole ? got.body == expected : expected.starts_with(got.body);
    if (!isRight) {
        broken(Promise::WholeAnswer, fmt::format("{}: '{}'", attempt.id, got.body));
    }
}

} // namespace laburnummill::testing
