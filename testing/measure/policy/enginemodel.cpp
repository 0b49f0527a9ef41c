#include "testing/measure/policy/enginemodel.h"

#include <algorithm>
#include <utility>

namespace laburnummill::testing {

using framework::Microseconds;

namespace {

constexpr auto s_kiloToken = 1'000.0;
constexpr auto s_microsecondsPerMs = 1'000.0;

} // namespace

auto EngineModel::use(const std::string& program, std::uint64_t tokens, int users) -> void
{
    auto& prefix = m_cache[program];
    if (prefix.tokens > 0 || prefix.users > 0) {
        m_recent.erase(prefix.recent);
    }
    prefix.recent = m_recent.insert(m_recent.end(), program);
    m_cached = m_cached - prefix.tokens + tokens;
    prefix.tokens = tokens;
    prefix.users = static_cast<std::uint32_t>(static_cast<int>(prefix.users) + users);
}

auto EngineModel::evict() -> void
{
    for (auto oldest = m_recent.begin(); oldest != m_recent.end() && m_cached > m_settings.cacheTokens;) {
        const auto found = m_cache.find(*oldest);
        if (found->second.users > 0) {
            ++oldest;
            continue;
        }
        m_cached -= found->second.tokens;
        m_evictions.push_back(*oldest);
        m_cache.erase(found);
        oldest = m_recent.erase(oldest);
    }
}

auto EngineModel::admit(ModelRequest request) -> void
{
    const auto found = m_cache.find(request.program);
    const auto cached = found == m_cache.end() ? 0 : std::min(found->second.tokens, request.promptTokens);
    use(request.program, request.promptTokens, 1);
    evict();
    m_running.push_back({request, cached, request.promptTokens - cached, request.completionTokens});
}

auto EngineModel::prefill() -> std::uint64_t
{
    auto left = m_settings.prefillChunk;
    for (auto& running : m_running) {
        const auto chunk = std::min(left, running.prefillLeft);
        running.prefillLeft -= chunk;
        left -= chunk;
    }
    return m_settings.prefillChunk - left;
}

auto EngineModel::step() -> Microseconds
{
    if (m_running.empty()) {
        return Microseconds(0);
    }
    auto decoding = 0.0;
    auto context = 0.0;
    for (auto& running : m_running) {
        if (running.prefillLeft == 0) {
            decoding += 1;
            context += static_cast<double>(running.request.promptTokens);
            --running.decodeLeft;
        }
    }
    const auto prefilled = static_cast<double>(prefill());
    const auto decodeMs = decoding == 0 ? 0 : m_settings.stepMs + m_settings.stepMsPerRequest * (decoding - 1);
    const auto length = decodeMs + m_settings.stepMsPerKiloToken * context / s_kiloToken + m_settings.prefillMsPerToken * prefilled;
    m_busyMs += length;
    complete();
    return Microseconds(static_cast<std::int64_t>(length * s_microsecondsPerMs));
}

auto EngineModel::complete() -> void
{
    for (const auto& running : m_running) {
        if (running.decodeLeft == 0) {
            use(running.request.program, running.request.promptTokens + running.request.completionTokens, -1);
            m_answers.push_back({running.request, running.cached});
        }
    }
    std::erase_if(m_running, [](const auto& running) { return running.decodeLeft == 0; });
    evict();
}

auto EngineModel::takeAnswers() -> std::vector<ModelAnswer>
{
    return std::exchange(m_answers, {});
}

auto EngineModel::takeEvictions() -> std::vector<std::string>
{
    return std::exchange(m_evictions, {});
}

auto EngineModel::release(const std::string& program) -> void
{
    const auto found = m_cache.find(program);
    if (found == m_cache.end() || found->second.users > 0) {
        return;
    }
    m_cached -= found->second.tokens;
    m_recent.erase(found->second.recent);
    m_cache.erase(found);
    m_evictions.push_back(program);
}

auto EngineModel::restart() -> std::vector<scheduling::PermitKey>
{
    auto ended = std::vector<scheduling::PermitKey>();
    for (const auto& running : m_running) {
        ended.push_back(running.request.key);
    }
    m_running.clear();
    m_answers.clear();
    m_evictions.clear();
    m_cache.clear();
    m_recent.clear();
    m_cached = 0;
    ++m_life;
    return ended;
}

} // namespace laburnummill::testing
