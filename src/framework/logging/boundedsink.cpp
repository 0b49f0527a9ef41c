#include "framework/logging/boundedsink.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <poll.h>
#include <unistd.h>

#include <memory>
#include <string>

namespace laburnummill::framework {

namespace {

class BoundedSink final : public spdlog::sinks::base_sink<spdlog::details::null_mutex>
{
public:
    explicit BoundedSink(std::size_t bufferBytes)
        : m_limit(bufferBytes)
    {}

    auto dropped() const -> std::uint64_t { return m_dropped; }

protected:
    auto sink_it_(const spdlog::details::log_msg& message) -> void override // NOLINT(readability-identifier-naming)
    {
        auto line = spdlog::memory_buf_t();
        formatter_->format(message, line);
        if (m_buffer.size() + line.size() > m_limit) {
            ++m_dropped;
            return;
        }
        m_buffer.append(line.data(), line.size());
    }

    auto flush_() -> void override // NOLINT(readability-identifier-naming)
    {
        while (!m_buffer.empty() && isWritable()) {
            // A pipe that is writable takes at least this much without blocking.
            const auto written = ::write(STDOUT_FILENO, m_buffer.data(), std::min<std::size_t>(m_buffer.size(), s_pipeAtomicBytes));
            if (written <= 0) {
                return;
            }
            m_buffer.erase(0, static_cast<std::size_t>(written));
        }
    }

private:
    static constexpr auto s_pipeAtomicBytes = std::size_t{4'096}; // PIPE_BUF

    static auto isWritable() -> bool
    {
        auto entry = pollfd{.fd = STDOUT_FILENO, .events = POLLOUT, .revents = 0};
        return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
    }

    std::size_t m_limit;
    std::string m_buffer;
    std::uint64_t m_dropped = 0;
};

auto currentSink() -> std::shared_ptr<BoundedSink>&
{
    static auto sink = std::shared_ptr<BoundedSink>();
    return sink;
}

} // namespace

auto startBufferedLogging(std::string_view daemonName, LogLevel level, std::size_t bufferBytes) -> void
{
    currentSink() = std::make_shared<BoundedSink>(bufferBytes);
    useLogSink(daemonName, level, currentSink());
}

auto flushLog() -> void
{
    if (currentSink()) {
        currentSink()->flush();
    }
}

auto droppedLogLines() -> std::uint64_t
{
    return currentSink() ? currentSink()->dropped() : 0;
}

} // namespace laburnummill::framework
