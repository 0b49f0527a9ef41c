#pragma once

#include "administration/internal/changeendpoints.h"
#include "administration/internal/queryendpoints.h"
#include "framework/http/ihttphandler.h"

#include <memory>

namespace laburnummill::administration {

/// Handles the operator API: authenticates the operator, then runs the query or change.
class OperatorHandler final : public framework::IHttpHandler
{
public:
    explicit OperatorHandler(AdministrationServices services);

    auto handle(const framework::HttpRequest& request, framework::IHttpResponder& responder) -> framework::Async<void> override;
    auto rejection(std::error_code error) -> framework::HttpResponse override;

private:
    auto answer(const framework::HttpRequest& request) -> framework::Async<framework::HttpResponse>;

    std::shared_ptr<AdministrationServices> m_services;
    QueryEndpoints m_queries;
    ChangeEndpoints m_changes;
};

} // namespace laburnummill::administration
