#pragma once

#include "framework/rpc/internal/framelink.h"

#include <grpcpp/grpcpp.h>

#include <memory>

namespace laburnummill::framework {

/// A peer's stream to us. Lives until gRPC has let go of it and no responder holds it any more.
class ServerLink final : public grpc::ServerBidiReactor<rpc::FrameBatch, rpc::FrameBatch>, public std::enable_shared_from_this<ServerLink>
{
public:
    explicit ServerLink(boost::asio::any_io_executor executor);

    /// Begins reading. Called once, before any other use.
    auto start(LinkEvents events) -> void;

    auto push(rpc::Frame frame) -> bool { return m_writer.push(std::move(frame)); }
    auto close() -> void;

private:
    auto OnSendInitialMetadataDone(bool ok) -> void override; // NOLINT(readability-identifier-naming)
    auto OnReadDone(bool ok) -> void override;                // NOLINT(readability-identifier-naming)
    auto OnWriteDone(bool ok) -> void override;               // NOLINT(readability-identifier-naming)
    auto OnDone() -> void override;                           // NOLINT(readability-identifier-naming)
    auto OnCancel() -> void override;                         // NOLINT(readability-identifier-naming)

    auto finish() -> void;

    boost::asio::any_io_executor m_executor;
    LinkEvents m_events;
    FrameWriter m_writer;
    rpc::FrameBatch m_incoming;
    std::shared_ptr<ServerLink> m_self;
    std::atomic<bool> m_finished = false;
};

} // namespace laburnummill::framework
