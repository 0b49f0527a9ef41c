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

/// One request of an operator, taken apart.
struct AdministrationRequest
{
    OperatorEntry actor;
    std::string method;
    std::vector<std::string> path; ///< after /admin/v1
    std::map<std::string, std::string> query;
    framework::Json body;
};

auto jsonResponse(unsigned status, const framework::Json& body) -> framework::HttpResponse;
auto errorResponse(const std::error_code& error, framework::Json details = nullptr) -> framework::HttpResponse;

/// Splits a path after its prefix "/admin/v1"; empty where it has another.
auto administrationPath(std::string_view path) -> std::vector<std::string>;

/// Names and values of a query, percent-decoded.
auto queryOf(std::string_view query) -> std::map<std::string, std::string>;

} // namespace laburnummill::administration
