#include "testing/simulation/batchingengine.h"

#include <algorithm>
#include <utility>

namespace laburnummill::testing {

namespace {

using framework::Instant;

using FractionalMs = std::chrono::duration<double, std::milli>;

/// Less work than this is done; a nanosecond is the resolution of virtual time.
constexpr auto s_doneMs = 1e-5;

} // namespace

auto BatchingEngine::add(EngineTurn turn, Instant now) -> int
{
    if (m_running.empty()) {
        m_advancedTo = now;
    }
    m_waiting.push_back(std::move(turn));
    return admitWaiting() + std::exchange(m_readSinceAdd, 0);
}

auto BatchingEngine::admitWaiting() -> int
{
    auto tokens = 0;
    while (!m_waiting.empty() && running() < m_speed.slots) {
        const auto& turn = m_waiting.front();
        const auto missing = read(turn.prompt);
        tokens += missing;
        m_prefillMs += missing / m_speed.prefillTokensPerMs;
        m_running.push_back({.number = turn.number, .tokensLeft = turn.tokens});
        m_waiting.pop_front();
    }
    return tokens;
}

auto BatchingEngine::read(const std::vector<EnginePromptPart>& prompt) -> int
{
    auto missing = 0;
    for (const auto& part : prompt) {
        const auto found = m_cached.find(part.part);
        if (found != m_cached.end() && missing == 0) {
            m_cache.splice(m_cache.begin(), m_cache, found->second);
            continue;
        }
        missing += part.tokens;
        if (found == m_cached.end()) {
            m_cache.push_front(part);
            m_cached[part.part] = m_cache.begin();
            m_cachedTokens += part.tokens;
        }
    }
    while (m_cachedTokens > m_speed.cacheTokens && !m_cache.empty()) {
        m_cachedTokens -= m_cache.back().tokens;
        m_cached.erase(m_cache.back().part);
        m_cache.pop_back();
    }
    return missing;
}

auto BatchingEngine::nextChange() const -> Instant
{
    if (m_running.empty()) {
        return Instant::max();
    }
    const auto least = std::ranges::min(m_running, {}, &Running::tokensLeft).tokensLeft;
    const auto ms = (m_prefillMs + least * m_speed.msPerToken) * m_pace;
    return m_advancedTo + std::chrono::ceil<Instant::duration>(FractionalMs(ms));
}

auto BatchingEngine::advance(Instant now) -> std::vector<std::uint64_t>
{
    auto ended = std::vector<std::uint64_t>();
    while (!m_running.empty()) {
        const auto until = std::min(now, nextChange());
        auto workMs = FractionalMs(until - m_advancedTo).count() / m_pace;
        const auto read = std::min(workMs, m_prefillMs);
        m_prefillMs -= read;
        workMs -= read;
        for (auto& turn : m_running) {
            turn.tokensLeft -= workMs / m_speed.msPerToken;
        }
        m_advancedTo = until;
        const auto isDone = [](const Running& turn) { return turn.tokensLeft <= s_doneMs; };
        for (const auto& turn : m_running) {
            if (m_prefillMs <= s_doneMs && isDone(turn)) {
                ended.push_back(turn.number);
            }
        }
        if (m_prefillMs <= s_doneMs) {
            std::erase_if(m_running, isDone);
        }
        m_readSinceAdd += admitWaiting();
        if (until == now) {
            break;
        }
    }
    return ended;
}

} // namespace laburnummill::testing
