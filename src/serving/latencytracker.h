#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::serving {

/// Moving averages of latencies by kind of work over all backend servers, used to detect slow servers.
class LatencyTracker
{
public:
    /// Adds a sample; returns its ratio to the average (1 is average), or 0 if there are too few samples yet.
    auto record(std::string_view kind, double milliseconds) -> double;

    /// Returns the average for `kind` in milliseconds, or nullopt if there are too few samples yet.
    auto average(std::string_view kind) const -> std::optional<double>;

private:
    struct Average
    {
        double milliseconds = 0;
        int samples = 0;
    };

    std::map<std::string, Average, std::less<>> m_averages;
};

} // namespace laburnummill::serving
