#pragma once

#include "framework/global/json.h"
#include "framework/http/httptypes.h"

#include <string>

namespace laburnummill::testing {

/// The header by which back ends name the request that they answer.
inline constexpr auto s_requestIdHeader = "X-Request-Id";

/// A JSON answer of a fake, with the id of the request it answers where `id` is given.
auto fakeAnswer(unsigned status, const framework::Json& body, const std::string& id = {}) -> framework::HttpResponse;

/// Everything of a request in one text: a test looks in it for what must not be there.
auto describeRequest(const framework::HttpRequest& request) -> std::string;

} // namespace laburnummill::testing
