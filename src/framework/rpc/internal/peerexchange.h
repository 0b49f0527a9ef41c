#pragma once

#include "framework/global/asyncqueue.h"
#include "framework/rpc/ipeers.h"
#include "framework/rpc/peer.pb.h"

#include <functional>

namespace laburnummill::framework {

/// The asking side of one exchange on a link.
class PeerExchange final : public IPeerExchange
{
public:
    using Push = std::function<bool(rpc::Frame)>;

    PeerExchange(const asio::any_io_executor& executor, std::uint64_t id, Push push)
        : m_answers(executor)
        , m_id(id)
        , m_push(std::move(push))
    {}

    auto read() -> AsyncResult<std::optional<std::string>> override { co_return co_await m_answers.pop(); }

    auto write(std::string payload) -> void override
    {
        auto frame = frameOf(rpc::FRAME_DATA);
        frame.set_payload(std::move(payload));
        m_push(std::move(frame));
    }

    auto cancel() -> void override { abandon(RpcError::Cancelled); }

    /// Ends the reading side with `error` and tells the peer that nobody waits.
    auto abandon(std::error_code error) -> void
    {
        if (m_answers.finished()) {
            return;
        }
        m_answers.fail(error);
        m_push(frameOf(rpc::FRAME_CANCEL));
    }

    /// Ends the reading side without a word to the peer.
    auto fail(std::error_code error) -> void { m_answers.fail(error); }

    auto take(const rpc::Frame& frame) -> void
    {
        switch (frame.kind()) {
        case rpc::FRAME_DATA:
            m_answers.push(frame.payload());
            break;
        case rpc::FRAME_END:
            m_answers.end();
            break;
        case rpc::FRAME_FAILURE:
            m_answers.fail(static_cast<RpcError>(frame.failure()));
            break;
        default:
            break;
        }
    }

    auto id() const -> std::uint64_t { return m_id; }
    auto finished() const -> bool { return m_answers.finished(); }

private:
    auto frameOf(rpc::FrameKind kind) const -> rpc::Frame
    {
        auto frame = rpc::Frame();
        frame.set_exchange(m_id);
        frame.set_kind(kind);
        return frame;
    }

    AsyncQueue<std::string> m_answers;
    std::uint64_t m_id;
    Push m_push;
};

} // namespace laburnummill::framework
