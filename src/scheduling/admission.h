#pragma once

#include "backends/backendregistry.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::scheduling {

/// Decides whether a program may begin while engines are busy. Answers the load of a burst: engines take requests in the
/// order of arrival, so that more programs than they can carry make all of them late. Those under way go on; those that
/// begin are turned away, and come back when there is room.
class Admission
{
public:
    explicit Admission(std::uint64_t seed = std::random_device()());

    /// `servers` are those that may take the program's turns; a `priority` of 0 is the most urgent.
    auto mayBegin(const std::vector<backends::BackendPtr>& servers, int priority, framework::Instant now) -> bool;

    /// Whether a program asks for the first time; remembers that it did.
    auto isFirstRequest(const std::string& program, framework::Instant now) -> bool;

private:
    std::minstd_rand m_random;
    std::map<std::string, framework::Instant, std::less<>> m_lastRequestAt;
};

/// Part of the places of `servers` that is taken, requests of other hosts included; over 1 where requests wait.
auto loadOf(const std::vector<backends::BackendPtr>& servers, framework::Instant now) -> double;

} // namespace laburnummill::scheduling
