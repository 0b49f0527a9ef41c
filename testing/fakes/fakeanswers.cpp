#include "testing/fakes/fakeanswers.h"

namespace laburnummill::testing {

auto fakeAnswer(unsigned status, const framework::Json& body, const std::string& id) -> framework::HttpResponse
{
    auto response = framework::HttpResponse{status, {{"Content-Type", "application/json"}}, framework::dumpJson(body)};
    if (!id.empty()) {
        response.headers[s_requestIdHeader] = id;
    }
    return response;
}

auto describeRequest(const framework::HttpRequest& request) -> std::string
{
    auto text = request.method + " " + request.path + "?" + request.query + "\n";
    for (const auto& [name, value] : request.headers) {
        text += name + ": " + value + "\n";
    }
    return text + request.body;
}

} // namespace laburnummill::testing
