#pragma once

#include <string>
#include <string_view>

namespace laburnummill::serving {

/// Follows a stream of server-sent events as it passes through: counts events and gathers their data.
class EventScanner
{
public:
    auto feed(std::string_view bytes) -> void;

    /// Whole events so far.
    auto events() const -> int { return m_events; }

    /// Data of all whole events, each followed by a line feed.
    auto data() const -> const std::string& { return m_data; }

    /// Whether the stream stands between two events.
    auto isBetweenEvents() const -> bool { return m_line.empty() && !m_hasFields; }

private:
    auto endLine() -> void;

    std::string m_line;
    std::string m_eventData;
    std::string m_data;
    bool m_hasData = false;
    bool m_hasFields = false;
    int m_events = 0;
};

} // namespace laburnummill::serving
