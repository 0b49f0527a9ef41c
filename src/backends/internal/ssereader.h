#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::backends {

/// Splits a stream of server-sent events into the data of the single events.
class SseReader
{
public:
    auto feed(std::string_view bytes) -> void { m_buffer += bytes; }

    /// Returns the data of the next complete event, or nullopt if more bytes are needed.
    auto next() -> std::optional<std::string>
    {
        while (true) {
            const auto end = m_buffer.find("\n\n");
            if (end == std::string::npos) {
                return std::nullopt;
            }
            const auto event = m_buffer.substr(0, end);
            m_buffer.erase(0, end + 2);
            constexpr auto prefix = std::string_view("data:");
            if (const auto start = event.find(prefix); start != std::string::npos) {
                const auto first = event.find_first_not_of(' ', start + prefix.size());
                return first == std::string::npos ? std::string() : event.substr(first);
            }
        }
    }

    /// Size in bytes of the buffered incomplete event.
    auto pending() const -> std::size_t { return m_buffer.size(); }

private:
    std::string m_buffer;
};

} // namespace laburnummill::backends
