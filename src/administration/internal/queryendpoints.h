#pragma once

#include "administration/internal/administrationservices.h"
#include "administration/internal/requests.h"

namespace laburnummill::administration {

/// Read-only endpoints.
class QueryEndpoints
{
public:
    explicit QueryEndpoints(std::shared_ptr<AdministrationServices> services);

    /// The response to a query; nullopt if no read-only endpoint matches the request.
    auto answer(const AdministrationRequest& request) -> framework::Async<std::optional<framework::HttpResponse>>;

private:
    auto status(const AdministrationRequest& request) const -> framework::HttpResponse;
    auto configuration(const AdministrationRequest& request) -> framework::Async<framework::HttpResponse>;
    auto keys(const AdministrationRequest& request) const -> framework::HttpResponse;
    auto confirmations(const AdministrationRequest& request) const -> framework::HttpResponse;
    auto outcomes(const AdministrationRequest& request) -> framework::Async<framework::HttpResponse>;
    auto quarantine() const -> framework::HttpResponse;
    auto program(const AdministrationRequest& request) -> framework::Async<framework::HttpResponse>;
    auto report(const AdministrationRequest& request) -> framework::Async<framework::HttpResponse>;
    auto operators() -> framework::Async<framework::HttpResponse>;
    auto audit(const AdministrationRequest& request) -> framework::Async<framework::HttpResponse>;
    auto mayAccess(const OperatorEntry& actor, const std::string& account) const -> bool;

    std::shared_ptr<AdministrationServices> m_services;
};

/// True if the account belongs to the operator's team, or if the operator has no team.
auto mayAccessAccount(const AdministrationServices& services, const OperatorEntry& actor, const std::string& account) -> bool;

/// JSON list of data centres with their confirmation state and numbers of hosts.
auto confirmationsJson(const std::vector<gossip::DataCentreConfirmation>& confirmations) -> framework::Json;

auto dataCentreNames(const AdministrationServices& services) -> std::vector<std::string>;

} // namespace laburnummill::administration
