#pragma once

#include "administration/internal/administrationservices.h"
#include "administration/internal/requests.h"

namespace laburnummill::administration {

/// Endpoints that make changes. Each change is recorded in the audit log first; if that fails, the change is not made.
class ChangeEndpoints
{
public:
    explicit ChangeEndpoints(std::shared_ptr<AdministrationServices> services);

    /// Makes the requested change and returns the response; an error response with PathUnknown if no endpoint matches.
    auto answer(AdministrationRequest request) -> framework::Async<framework::HttpResponse>;

private:
    struct Change;

    auto parseChange(const AdministrationRequest& request) -> framework::Result<Change>;
    auto keyChange(const AdministrationRequest& request) -> framework::Result<Change>;
    auto drainChange(const AdministrationRequest& request) -> framework::Result<Change>;
    auto outcomeChange(const AdministrationRequest& request) -> framework::Result<Change>;
    auto operatorChange(const AdministrationRequest& request) -> framework::Result<Change>;
    auto configurationChange(const AdministrationRequest& request) -> framework::Result<Change>;
    auto quarantineChange(const AdministrationRequest& request) -> framework::Result<Change>;
    auto stopChange() -> framework::Result<Change>;
    auto confirmationResponse(std::string document, std::uint64_t version, bool wait) -> framework::Async<framework::HttpResponse>;

    std::shared_ptr<AdministrationServices> m_services;
};

} // namespace laburnummill::administration
