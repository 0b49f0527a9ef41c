#pragma once

#include "programs/internal/ownerdriver.h"
#include "programs/programmessages.pb.h"

namespace laburnummill::programs {

/// Routes each request to the program's owner: this host or a peer.
class ProgramRouter final : public IPrograms, public std::enable_shared_from_this<ProgramRouter>
{
public:
    ProgramRouter(std::shared_ptr<OwnerDriver> driver, ProgramServices services);

    /// Registers the handler for requests of peers.
    auto serve() -> void;

    auto start(std::string account, std::string parent) -> framework::Async<StartOutcome> override;
    auto call(ProgramCall call, backends::IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<calls::CallOutcome> override;
    auto status(std::string account, std::string program) -> framework::Async<StatusOutcome> override;
    auto end(std::string account, std::string program) -> framework::Async<StatusOutcome> override;

private:
    auto homeDataCentre() const -> std::string;
    auto callOnce(ProgramCall call, backends::IPieceSink& sink, framework::CancellationPtr cancellation)
        -> framework::Async<calls::CallOutcome>;
    auto sendRequest(ProgramRequest::Kind kind, std::string account, std::string program) -> framework::Async<StatusOutcome>;
    auto sendRequestOnce(ProgramRequest::Kind kind, std::string account, std::string program) -> framework::Async<StatusOutcome>;
    auto handleLocally(ProgramRequest::Kind kind, std::string account, std::string program) -> framework::Async<StatusOutcome>;
    auto relayStatus(const framework::Endpoint& owner, std::string request) -> framework::Async<StatusOutcome>;
    auto handlePeerRequest(std::string payload, std::shared_ptr<framework::IPeerResponder> responder) -> framework::Async<void>;

    std::shared_ptr<OwnerDriver> m_driver;
    ProgramServices m_services;
};

} // namespace laburnummill::programs
