#include "framework/rpc/internal/clientlink.h"

#include <boost/asio/post.hpp>

namespace laburnummill::framework {

ClientLink::ClientLink(boost::asio::any_io_executor executor, LinkEvents events)
    : m_executor(std::move(executor))
    , m_events(std::move(events))
    , m_writer([this](const rpc::FrameBatch& batch) { StartWrite(&batch); })
{}

auto ClientLink::connect(const std::shared_ptr<grpc::Channel>& channel, const std::string& self) -> void
{
    m_self = shared_from_this();
    m_stub = rpc::PeerLink::NewStub(channel);
    m_context.AddMetadata("sender", self);
    m_stub->async()->Connect(&m_context, this);
    AddHold();
    StartRead(&m_incoming);
    StartCall();
}

auto ClientLink::close() -> void
{
    m_writer.close();
    m_context.TryCancel();
    finish();
}

auto ClientLink::finish() -> void
{
    if (!m_holdRemoved.exchange(true)) {
        RemoveHold();
    }
}

auto ClientLink::OnReadInitialMetadataDone(bool ok) -> void
{
    if (ok) {
        m_wasOpen = true;
        m_writer.open();
    }
}

auto ClientLink::OnReadDone(bool ok) -> void
{
    if (!ok) {
        m_writer.close();
        finish();
        return;
    }
    auto batch = std::make_shared<rpc::FrameBatch>();
    batch->Swap(&m_incoming);
    boost::asio::post(m_executor, [self = m_self, batch] { self->m_events.frames(*batch); });
    StartRead(&m_incoming);
}

auto ClientLink::OnWriteDone(bool ok) -> void
{
    m_writer.written(ok);
    if (!ok) {
        finish();
    }
}

auto ClientLink::OnDone(const grpc::Status& /*status*/) -> void
{
    m_writer.close();
    boost::asio::post(m_executor, [self = std::move(m_self)] { self->m_events.closed(self->m_wasOpen); });
}

} // namespace laburnummill::framework
