#pragma once

#include "framework/rpc/ipeers.h"
#include "framework/rpc/peer.pb.h"

#include <functional>
#include <vector>

namespace laburnummill::framework {

/// The answering side of one exchange on a link.
class PeerResponder final : public IPeerResponder
{
public:
    using Push = std::function<bool(rpc::Frame)>;

    PeerResponder(std::uint64_t id, Push push)
        : m_id(id)
        , m_push(std::move(push))
    {}

    auto write(std::string payload) -> void override
    {
        auto frame = frameOf(rpc::FRAME_DATA);
        frame.set_payload(std::move(payload));
        send(std::move(frame));
    }

    auto end() -> void override
    {
        send(frameOf(rpc::FRAME_END));
        m_finished = true;
    }

    auto fail(std::error_code error) -> void override
    {
        static const auto category = &make_error_code(RpcError::Refused).category();
        const auto code = &error.category() == category ? error.value() : static_cast<int>(RpcError::Refused);
        auto frame = frameOf(rpc::FRAME_FAILURE);
        frame.set_failure(static_cast<std::uint32_t>(code));
        send(std::move(frame));
        m_finished = true;
    }

    auto cancelled() const -> bool override { return m_cancelled; }
    auto onCancel(std::function<void()> handler) -> void override { m_cancelHandler = std::move(handler); }
    auto onMessage(std::function<void(std::string)> handler) -> void override
    {
        m_messageHandler = std::move(handler);
        const auto early = std::move(m_early);
        for (const auto& payload : early) {
            m_messageHandler(payload);
        }
    }

    auto takeMessage(std::string payload) -> void
    {
        if (m_messageHandler) {
            m_messageHandler(std::move(payload));
        } else {
            // NOTE The answering task may not have begun yet.
            m_early.push_back(std::move(payload));
        }
    }

    auto takeCancel() -> void
    {
        if (m_cancelled || m_finished) {
            return;
        }
        m_cancelled = true;
        if (const auto handler = std::move(m_cancelHandler)) {
            handler();
        }
    }

    auto finished() const -> bool { return m_finished; }

private:
    auto frameOf(rpc::FrameKind kind) const -> rpc::Frame
    {
        auto frame = rpc::Frame();
        frame.set_exchange(m_id);
        frame.set_kind(kind);
        return frame;
    }

    auto send(rpc::Frame frame) -> void
    {
        if (!m_finished && !m_cancelled && !m_push(std::move(frame))) {
            takeCancel();
        }
    }

    std::uint64_t m_id;
    Push m_push;
    std::function<void()> m_cancelHandler;
    std::function<void(std::string)> m_messageHandler;
    std::vector<std::string> m_early;
    bool m_cancelled = false;
    bool m_finished = false;
};

} // namespace laburnummill::framework
