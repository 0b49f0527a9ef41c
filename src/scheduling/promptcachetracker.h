#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

namespace laburnummill::scheduling {

/// One part of a prompt. Prompts list their parts in the order in which the engine processes them.
struct PromptPart
{
    std::string part;
    int tokens = 0;
};

/// Tracks which prompt parts each engine probably has in its cache, based on the requests of this host.
class PromptCacheTracker
{
public:
    /// Records that `engine` processes `prompt`.
    auto recordPrompt(std::uint64_t engine, const std::vector<PromptPart>& prompt) -> void;

    /// Number of prompt tokens that the engine has to process: all tokens from the first uncached part on.
    auto missingTokens(std::uint64_t engine, const std::vector<PromptPart>& prompt) const -> int;

    /// Number of leading parts that many programs share, so that engines used by other hosts have probably cached them, too.
    auto commonParts(const std::vector<PromptPart>& prompt) const -> std::size_t;

    /// As missingTokens(), where the first `commonParts` parts are taken to be cached everywhere.
    auto missingTokens(std::uint64_t engine, const std::vector<PromptPart>& prompt, std::size_t commonParts) const -> int;

    auto remove(std::uint64_t engine) -> void { m_engines.erase(engine); }

private:
    struct Engine
    {
        std::unordered_map<std::string, std::uint64_t> parts; ///< part to the sequence number of its last use
        std::uint64_t uses = 0;
    };

    std::unordered_map<std::uint64_t, Engine> m_engines;
    std::unordered_map<std::string, std::unordered_set<std::uint64_t>> m_firstParts; ///< engines that got each first part
};

} // namespace laburnummill::scheduling
