#include "framework/rpc/internal/framelink.h"

namespace laburnummill::framework {

namespace {

constexpr auto s_maxPendingBytes = std::size_t{16 * 1024 * 1024};

} // namespace

FrameWriter::FrameWriter(std::function<void(const rpc::FrameBatch&)> startWrite)
    : m_startWrite(std::move(startWrite))
{}

auto FrameWriter::push(rpc::Frame frame) -> bool
{
    const auto lock = std::lock_guard(m_mutex);
    const auto bytes = frame.payload().size();
    if (m_closed || m_pendingBytes + bytes > s_maxPendingBytes) {
        return false;
    }
    m_pendingBytes += bytes;
    *m_pending.add_frames() = std::move(frame);
    startNext();
    return true;
}

auto FrameWriter::open() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_open = true;
    startNext();
}

auto FrameWriter::written(bool ok) -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_writing = false;
    if (!ok) {
        m_closed = true;
        return;
    }
    startNext();
}

auto FrameWriter::close() -> void
{
    const auto lock = std::lock_guard(m_mutex);
    m_closed = true;
}

auto FrameWriter::startNext() -> void
{
    if (!m_open || m_closed || m_writing || m_pending.frames().empty()) {
        return;
    }
    m_writing = true;
    m_current.Clear();
    m_current.Swap(&m_pending);
    m_pendingBytes = 0;
    m_startWrite(m_current);
}

} // namespace laburnummill::framework
