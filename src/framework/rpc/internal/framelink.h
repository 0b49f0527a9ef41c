#pragma once

#include "framework/rpc/peer.grpc.pb.h"

#include <boost/asio/any_io_executor.hpp>

#include <functional>
#include <mutex>

namespace laburnummill::framework {

/// The sending half of a peer link: frames that wait are written as one batch.
//! NOTE Called from the executor and from gRPC's threads, hence the mutex; nothing else in the daemon needs one.
class FrameWriter
{
public:
    /// `startWrite` begins the write of the batch it is given, which stays valid until written().
    explicit FrameWriter(std::function<void(const rpc::FrameBatch&)> startWrite);

    /// Queues a frame; false where the queue is full or the link closed.
    auto push(rpc::Frame frame) -> bool;

    /// Lets queued frames go; before that they wait for the link to be made.
    auto open() -> void;

    /// The batch was written; begins the next.
    auto written(bool ok) -> void;

    auto close() -> void;

private:
    auto startNext() -> void;

    std::mutex m_mutex;
    std::function<void(const rpc::FrameBatch&)> m_startWrite;
    rpc::FrameBatch m_pending;
    rpc::FrameBatch m_current;
    std::size_t m_pendingBytes = 0;
    bool m_open = false;
    bool m_writing = false;
    bool m_closed = false;
};

/// What a link tells its owner, always on the daemon's executor.
struct LinkEvents
{
    std::function<void(const rpc::FrameBatch&)> frames;
    std::function<void(bool wasOpen)> closed;
};

} // namespace laburnummill::framework
