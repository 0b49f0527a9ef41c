#pragma once

#include <string>
#include <string_view>

namespace laburnummill::serving {

/// Parses a stream of server-sent events incrementally; counts the events and collects their data.
class EventScanner
{
public:
    auto feed(std::string_view bytes) -> void;

    /// Number of complete events.
    auto events() const -> int { return m_events; }

    /// Data of all complete events, each followed by a line feed.
    auto data() const -> const std::string& { return m_data; }

    /// Whether the last event is complete and no further one has started. Comments are no part of an event.
    auto isBetweenEvents() const -> bool { return (m_line.empty() || m_line.front() == s_commentMark) && !m_hasFields; }

private:
    static constexpr auto s_commentMark = ':';

    auto endLine() -> void;

    std::string m_line;
    std::string m_eventData;
    std::string m_data;
    bool m_hasData = false;
    bool m_hasFields = false;
    int m_events = 0;
};

} // namespace laburnummill::serving
