#pragma once

#include <cstdint>
#include <functional>
#include <queue>
#include <tuple>
#include <utility>
#include <vector>

namespace laburnummill::testing {

/// What is to happen on virtual time, in order; of events at the same moment the one that was pushed first.
template<class Time>
class EventQueue
{
public:
    struct Event
    {
        Time at;
        std::uint64_t number;
        std::function<void()> run;

        auto operator>(const Event& other) const -> bool { return std::tie(at, number) > std::tie(other.at, other.number); }
    };

    auto push(Time at, std::function<void()> run) -> void { m_events.push({at, m_next++, std::move(run)}); }

    auto isEmpty() const -> bool { return m_events.empty(); }

    /// When the next event comes; there must be one.
    auto nextAt() const -> Time { return m_events.top().at; }

    auto pop() -> Event
    {
        auto event = m_events.top();
        m_events.pop();
        return event;
    }

private:
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::uint64_t m_next = 1;
};

} // namespace laburnummill::testing
