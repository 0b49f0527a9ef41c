#pragma once

#include "framework/http/ihttphandler.h"
#include "platform/internal/embeddedplatform.h"
#include "testing/fakes/faultplan.h"

namespace laburnummill::testing {

/// A stand-in for the platform: the embedded services behind the platform's HTTP protocol, with faults.
class FakePlatform final : public framework::IHttpHandler
{
public:
    auto handle(const framework::HttpRequest& request, framework::IHttpResponder& responder) -> framework::Async<void> override;
    auto rejection(std::error_code error) -> framework::HttpResponse override;

    auto faults() -> FaultPlan& { return m_faults; }
    auto platform() -> platform::EmbeddedPlatform& { return m_platform; }

private:
    auto answer(const framework::HttpRequest& request) -> framework::Async<framework::HttpResponse>;
    auto answerObject(const framework::HttpRequest& request) -> framework::Async<framework::HttpResponse>;

    platform::EmbeddedPlatform m_platform;
    FaultPlan m_faults;
    std::uint64_t m_reads = 0;
    std::uint64_t m_writes = 0;
};

} // namespace laburnummill::testing
