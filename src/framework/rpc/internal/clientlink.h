#pragma once

#include "framework/rpc/internal/framelink.h"

#include <grpcpp/grpcpp.h>

#include <memory>
#include <string>

namespace laburnummill::framework {

/// Our stream to one peer. Keeps itself alive until gRPC has let go of it.
class ClientLink final : public grpc::ClientBidiReactor<rpc::FrameBatch, rpc::FrameBatch>, public std::enable_shared_from_this<ClientLink>
{
public:
    ClientLink(boost::asio::any_io_executor executor, LinkEvents events);

    /// Opens the stream; `self` is our own address, by which the peer knows us.
    auto connect(const std::shared_ptr<grpc::Channel>& channel, const std::string& self) -> void;

    auto push(rpc::Frame frame) -> bool { return m_writer.push(std::move(frame)); }
    auto close() -> void;

private:
    auto OnReadInitialMetadataDone(bool ok) -> void override; // NOLINT(readability-identifier-naming)
    auto OnReadDone(bool ok) -> void override;                // NOLINT(readability-identifier-naming)
    auto OnWriteDone(bool ok) -> void override;               // NOLINT(readability-identifier-naming)
    auto OnDone(const grpc::Status& status) -> void override; // NOLINT(readability-identifier-naming)

    auto finish() -> void;

    boost::asio::any_io_executor m_executor;
    LinkEvents m_events;
    FrameWriter m_writer;
    std::unique_ptr<rpc::PeerLink::Stub> m_stub;
    grpc::ClientContext m_context;
    rpc::FrameBatch m_incoming;
    std::shared_ptr<ClientLink> m_self;
    std::atomic<bool> m_wasOpen = false;
    std::atomic<bool> m_holdRemoved = false;
};

} // namespace laburnummill::framework
