#include "serving/eventscanner.h"

namespace laburnummill::serving {

auto EventScanner::feed(std::string_view bytes) -> void
{
    while (!bytes.empty()) {
        const auto end = bytes.find('\n');
        m_line += bytes.substr(0, end);
        if (end == std::string_view::npos) {
            return;
        }
        bytes.remove_prefix(end + 1);
        endLine();
    }
}

auto EventScanner::endLine() -> void
{
    constexpr auto dataField = std::string_view("data:");
    auto line = std::string_view(m_line);
    if (line.ends_with('\r')) {
        line.remove_suffix(1);
    }
    if (line.empty()) {
        if (m_hasData) {
            ++m_events;
            m_data += m_eventData + '\n';
        }
        m_eventData.clear();
        m_hasData = false;
        m_hasFields = false;
    } else if (line.front() != s_commentMark) {
        m_hasFields = true;
    }
    if (line.starts_with(dataField)) {
        line.remove_prefix(dataField.size());
        line.remove_prefix(line.starts_with(' ') ? 1 : 0);
        m_eventData += (m_hasData ? "\n" : "") + std::string(line);
        m_hasData = true;
    }
    m_line.clear();
}

} // namespace laburnummill::serving
