#include "serving/streamcontinuation.h"

#include "serving/eventscanner.h"

#include <charconv>
#include <utility>

namespace laburnummill::serving {

namespace {

/// Position after the blank line that ends the first event of `text`, searched from `from` on; npos if there is none.
auto endOfEvent(std::string_view text, std::size_t from) -> std::size_t
{
    for (auto lineEnd = text.find('\n', from); lineEnd != std::string_view::npos; lineEnd = text.find('\n', lineEnd + 1)) {
        auto next = lineEnd + 1;
        next += next < text.size() && text[next] == '\r' ? 1 : 0;
        if (next < text.size() && text[next] == '\n') {
            return next + 1;
        }
    }
    return std::string_view::npos;
}

auto idOf(std::string_view event) -> std::optional<std::uint64_t>
{
    constexpr auto field = std::string_view("id:");
    auto id = std::optional<std::uint64_t>();
    while (!event.empty()) {
        const auto end = event.find('\n');
        auto line = event.substr(0, end);
        event = end == std::string_view::npos ? std::string_view() : event.substr(end + 1);
        if (!line.starts_with(field)) {
            continue;
        }
        line.remove_prefix(field.size());
        line.remove_prefix(line.starts_with(' ') ? 1 : 0);
        line.remove_suffix(line.ends_with('\r') ? 1 : 0);
        auto number = std::uint64_t{0};
        const auto parsed = std::from_chars(line.data(), line.data() + line.size(), number);
        if (line.empty() || parsed.ec != std::errc() || parsed.ptr != line.data() + line.size()) {
            return std::nullopt;
        }
        id = number;
    }
    return id;
}

/// Whether the text consists of comments and blank lines only.
auto isComment(std::string_view text) -> bool
{
    auto isLineStart = true;
    for (const auto character : text) {
        if (isLineStart && character != ':' && character != '\r' && character != '\n') {
            return false;
        }
        isLineStart = character == '\n';
    }
    return true;
}

} // namespace

auto StreamContinuation::beginRun() -> void
{
    ++m_runs;
    m_pending.clear();
    m_scanned = 0;
    m_fault.reset();
}

auto StreamContinuation::feed(std::string_view bytes) -> std::string
{
    m_pending += bytes;
    auto complete = std::size_t{0};
    while (!m_fault) {
        const auto end = endOfEvent(m_pending, complete + m_scanned);
        if (end == std::string::npos) {
            break;
        }
        if (!accept(std::string_view(m_pending).substr(complete, end - complete))) {
            break;
        }
        complete = end;
        m_scanned = 0;
    }
    auto events = m_pending.substr(0, complete);
    m_pending.erase(0, complete);
    // The end of an event spans up to three bytes, which may arrive one by one.
    m_scanned = m_pending.size() < 3 ? 0 : m_pending.size() - 3;
    return events;
}

auto StreamContinuation::accept(std::string_view event) -> bool
{
    if (isComment(event)) {
        return true; // Servers keep a slow stream's connection open with them.
    }
    const auto id = idOf(event);
    if (!id) {
        m_fault = ContinuationFault::NoEventId;
        return false;
    }
    if (m_lastEvent && *id != *m_lastEvent + 1) {
        m_fault = ContinuationFault::OutOfOrder;
        return false;
    }
    m_lastEvent = id;
    return true;
}

auto StreamContinuation::isInsideEvent() const -> bool
{
    auto rest = EventScanner();
    rest.feed(m_pending);
    return !rest.isBetweenEvents();
}

auto StreamContinuation::takeRemainder() -> std::string
{
    m_scanned = 0;
    return std::exchange(m_pending, {});
}

} // namespace laburnummill::serving
