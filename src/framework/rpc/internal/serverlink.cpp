#include "framework/rpc/internal/serverlink.h"

#include <boost/asio/post.hpp>

namespace laburnummill::framework {

ServerLink::ServerLink(boost::asio::any_io_executor executor)
    : m_executor(std::move(executor))
    , m_writer([this](const rpc::FrameBatch& batch) { StartWrite(&batch); })
{}

auto ServerLink::start(LinkEvents events) -> void
{
    m_self = shared_from_this();
    m_events = std::move(events);
    StartSendInitialMetadata();
    StartRead(&m_incoming);
}

auto ServerLink::close() -> void
{
    finish();
}

auto ServerLink::finish() -> void
{
    m_writer.close();
    if (!m_finished.exchange(true)) {
        Finish(grpc::Status::OK);
    }
}

auto ServerLink::OnSendInitialMetadataDone(bool ok) -> void
{
    if (ok) {
        m_writer.open();
    }
}

auto ServerLink::OnReadDone(bool ok) -> void
{
    if (!ok) {
        finish();
        return;
    }
    auto batch = std::make_shared<rpc::FrameBatch>();
    batch->Swap(&m_incoming);
    boost::asio::post(m_executor, [self = m_self, batch] { self->m_events.frames(*batch); });
    StartRead(&m_incoming);
}

auto ServerLink::OnWriteDone(bool ok) -> void
{
    m_writer.written(ok);
    if (!ok) {
        finish();
    }
}

auto ServerLink::OnCancel() -> void
{
    finish();
}

auto ServerLink::OnDone() -> void
{
    m_writer.close();
    boost::asio::post(m_executor, [self = std::move(m_self)] { self->m_events.closed(true); });
}

} // namespace laburnummill::framework
