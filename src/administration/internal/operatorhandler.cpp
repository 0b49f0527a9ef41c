#include "administration/internal/operatorhandler.h"

namespace laburnummill::administration {

using framework::Async;
using framework::HttpRequest;
using framework::HttpResponse;
using framework::Json;

namespace {

auto presentedKey(const HttpRequest& request) -> std::string
{
    constexpr auto scheme = std::string_view("Bearer ");
    const auto authorization = framework::headerValue(request.headers, "Authorization");
    return authorization.starts_with(scheme) ? std::string(authorization.substr(scheme.size())) : std::string();
}

} // namespace

OperatorHandler::OperatorHandler(AdministrationServices services)
    : m_services(std::make_shared<AdministrationServices>(std::move(services)))
    , m_queries(m_services)
    , m_changes(m_services)
{}

auto OperatorHandler::rejection(std::error_code error) -> HttpResponse
{
    return errorResponse(error);
}

auto OperatorHandler::handle(const HttpRequest& request, framework::IHttpResponder& responder) -> Async<void>
{
    (void)co_await responder.respond(co_await answer(request));
}

auto OperatorHandler::answer(const HttpRequest& request) -> Async<HttpResponse>
{
    const auto actor = co_await m_services->operators->authenticate(presentedKey(request));
    if (!actor) {
        m_services->metrics->count("operator_refusals_total", {{"code", std::string(framework::codeOf(actor.error()))}});
        co_return errorResponse(actor.error());
    }
    auto parsed =
        AdministrationRequest{actor.value(), request.method, administrationPath(request.path), queryOf(request.query), Json::object()};
    if (parsed.path.empty()) {
        co_return errorResponse(AdministrationError::PathUnknown);
    }
    if (!request.body.empty()) {
        auto body = framework::parseJson(request.body);
        if (!body || !body->is_object()) {
            co_return errorResponse(AdministrationError::BodyInvalid);
        }
        parsed.body = std::move(*body);
    }
    if (auto response = co_await m_queries.answer(parsed)) {
        co_return std::move(*response);
    }
    if (request.method == "GET") {
        co_return errorResponse(AdministrationError::PathUnknown);
    }
    co_return co_await m_changes.answer(std::move(parsed));
}

} // namespace laburnummill::administration
