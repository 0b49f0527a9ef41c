#pragma once

#include <chrono>
#include <cstdint>
#include <utility>

namespace laburnummill::framework {

/// Limits log lines of an event that may occur any number of times to one per interval.
class LogPacer
{
public:
    using Clock = std::chrono::steady_clock;

    explicit LogPacer(Clock::duration interval)
        : m_interval(interval)
    {}

    /// Counts an occurrence. Returns how many to report now, itself included; 0 if the interval since the last report is not over.
    auto take(Clock::time_point now) -> std::uint64_t
    {
        ++m_count;
        if (now < m_nextReport) {
            return 0;
        }
        m_nextReport = now + m_interval;
        return std::exchange(m_count, 0);
    }

private:
    Clock::duration m_interval;
    Clock::time_point m_nextReport;
    std::uint64_t m_count = 0;
};

} // namespace laburnummill::framework
