#pragma once

#include "backends/backendregistry.h"

#include <map>
#include <random>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::scheduling {

/// Admission control for new programs. Engines process requests in the order of arrival, so a burst of more programs than
/// they can handle would delay all programs. Running programs continue; new programs are rejected and can try again later.
class Admission
{
public:
    explicit Admission(std::uint64_t seed = std::random_device()());

    /// Whether a new program is admitted. `servers` are the candidates for its turns; `priority` 0 is the highest.
    auto mayBegin(const std::vector<backends::BackendPtr>& servers, int priority, framework::Instant now) -> bool;

    /// Whether the load is so high that some new programs are rejected.
    static auto isSelective(const std::vector<backends::BackendPtr>& servers, int priority, framework::Instant now) -> bool;

    /// Records a request of a program and returns whether it is the program's first within the retry window.
    auto isFirstRequest(const std::string& program, framework::Instant now) -> bool;

private:
    std::minstd_rand m_random;
    std::map<std::string, framework::Instant, std::less<>> m_lastRequestAt;
};

/// Ratio of running requests of all hosts to the slots of `servers`, without avoided servers; above 1 if requests are queued.
/// Returns 0 if there are no slots.
auto loadOf(const std::vector<backends::BackendPtr>& servers, framework::Instant now) -> double;

} // namespace laburnummill::scheduling
