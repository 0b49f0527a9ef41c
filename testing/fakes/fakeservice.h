#pragma once

#include "framework/global/digest.h"
#include "framework/http/ihttphandler.h"
#include "testing/fakes/faultplan.h"

#include <map>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// A stand-in for a plain service that takes bookings and charges deposits; it counts what it ran.
class FakeService final : public framework::IHttpHandler
{
public:
    auto handle(const framework::HttpRequest& request, framework::IHttpResponder& responder) -> framework::Async<void> override;
    auto rejection(std::error_code error) -> framework::HttpResponse override;

    auto faults() -> FaultPlan& { return m_faults; }

    /// How often each body was run at each path, by "path body".
    auto runs() const -> const std::map<std::string, std::uint64_t>& { return m_runs; }
    auto received() const -> const std::vector<std::string>& { return m_received; }

private:
    FaultPlan m_faults;
    std::map<std::string, std::uint64_t> m_runs;
    std::vector<std::string> m_received;
    std::uint64_t m_receipts = 0;
    std::string m_startId = framework::randomHex(8);
};

} // namespace laburnummill::testing
