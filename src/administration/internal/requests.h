#pragma once

#include "administration/administrationerrors.h"
#include "administration/operatortypes.h"
#include "framework/global/errorcategory.h"
#include "framework/global/json.h"
#include "framework/global/result.h"
#include "framework/http/httptypes.h"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace laburnummill::administration {

/// A parsed and authenticated operator request.
struct AdministrationRequest
{
    OperatorEntry actor;
    std::string method;
    std::vector<std::string> path; ///< path segments after /admin/v1
    std::map<std::string, std::string> query;
    framework::Json body;
};

auto jsonResponse(unsigned status, const framework::Json& body) -> framework::HttpResponse;
auto errorResponse(const std::error_code& error, framework::Json details = nullptr) -> framework::HttpResponse;

/// Path segments after the prefix "/admin/v1"; empty if the path has another prefix.
auto administrationPath(std::string_view path) -> std::vector<std::string>;

/// Percent-decoded parameters of a query string.
auto queryOf(std::string_view query) -> std::map<std::string, std::string>;

} // namespace laburnummill::administration
