#include "scheduling/promptcachetracker.h"

namespace laburnummill::scheduling {

namespace {

/// Number of prompt parts tracked for each engine; deployed engines cache fewer.
constexpr auto s_maxTrackedParts = std::size_t{1'000};

/// A first part that this host has sent to so many engines belongs to many programs: a program uses one or two engines.
constexpr auto s_enginesOfCommonPart = std::size_t{4};

/// Number of first parts tracked; deployments have some dozens that are common.
constexpr auto s_maxFirstParts = std::size_t{1'000};

} // namespace

auto PromptCacheTracker::recordPrompt(std::uint64_t engine, const std::vector<PromptPart>& prompt) -> void
{
    auto& cache = m_engines[engine];
    for (const auto& promptPart : prompt) {
        cache.parts[promptPart.part] = ++cache.uses;
    }
    if (cache.parts.size() > s_maxTrackedParts) {
        const auto oldest = cache.uses - s_maxTrackedParts / 2;
        std::erase_if(cache.parts, [oldest](const auto& part) { return part.second < oldest; });
    }
    if (prompt.empty()) {
        return;
    }
    if (m_firstParts.size() > s_maxFirstParts) {
        std::erase_if(m_firstParts, [](const auto& part) { return part.second.size() < s_enginesOfCommonPart; });
    }
    auto& engines = m_firstParts[prompt.front().part];
    if (engines.size() < s_enginesOfCommonPart) {
        engines.insert(engine);
    }
}

auto PromptCacheTracker::missingTokens(std::uint64_t engine, const std::vector<PromptPart>& prompt) const -> int
{
    return missingTokens(engine, prompt, 0);
}

auto PromptCacheTracker::commonParts(const std::vector<PromptPart>& prompt) const -> std::size_t
{
    const auto found = prompt.empty() ? m_firstParts.end() : m_firstParts.find(prompt.front().part);
    return found != m_firstParts.end() && found->second.size() >= s_enginesOfCommonPart ? 1 : 0;
}

auto PromptCacheTracker::missingTokens(std::uint64_t engine, const std::vector<PromptPart>& prompt, std::size_t commonParts) const -> int
{
    const auto cache = m_engines.find(engine);
    auto tokens = 0;
    auto isHeld = true;
    for (auto index = std::size_t{0}; index < prompt.size(); ++index) {
        const auto& promptPart = prompt[index];
        isHeld = isHeld && (index < commonParts || (cache != m_engines.end() && cache->second.parts.contains(promptPart.part)));
        tokens += isHeld ? 0 : promptPart.tokens;
    }
    return tokens;
}

} // namespace laburnummill::scheduling
