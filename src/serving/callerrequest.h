#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace laburnummill::serving {

/// A part of a prompt that requests may share.
struct PromptPart
{
    std::string id;
    int tokens = 0;
};

/// What a turn of a program says of itself.
struct TurnFields
{
    std::string program;
    std::string previousTurn; ///< id of the turn that it continues; empty at the start of a chain
    std::uint64_t budget = 0; ///< tokens that all turns of the program may generate
    bool hasBudget = false;
    std::uint64_t promptTokens = 0;
    std::uint64_t maxTokens = 0; ///< that this turn may generate
    std::vector<PromptPart> promptParts;
};

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// A caller's request, decoded.
struct CallerRequest
{
    std::string method;
    std::string target; ///< path and query, as sent
    std::string path;
    std::string hostName;
    std::string id;
    std::optional<std::string> key;                  ///< never logged, never passed on
    std::optional<framework::Milliseconds> deadline; ///< time that the caller waits
    std::optional<framework::Milliseconds> programDeadline;
    TurnFields turn;
    HeaderList forwardedHeaders; ///< that go to the backend server as they are
    std::string body;
    framework::Instant arrivedAt{};
};

} // namespace laburnummill::serving
