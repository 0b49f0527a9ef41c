#pragma once

#include "administration/internal/administrationservices.h"
#include "administration/internal/requests.h"

namespace laburnummill::administration {

/// What operators look at: nothing here changes anything.
class QueryEndpoints
{
public:
    explicit QueryEndpoints(std::shared_ptr<AdministrationServices> services);

    /// The answer; nothing where the request is not of this kind.
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

/// True where the account belongs to the operator's team, or the operator to none.
auto mayAccessAccount(const AdministrationServices& services, const OperatorEntry& actor, const std::string& account) -> bool;

/// Each data centre with what it has confirmed of a document's version.
auto confirmationsJson(const std::vector<gossip::DataCentreConfirmation>& confirmations) -> framework::Json;

auto dataCentreNames(const AdministrationServices& services) -> std::vector<std::string>;

} // namespace laburnummill::administration
