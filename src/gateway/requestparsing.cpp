#include "gateway/requestparsing.h"

#include "framework/global/json.h"

#include <algorithm>
#include <charconv>
#include <vector>

namespace laburnummill::gateway {

using framework::HttpRequest;
using framework::Json;
using framework::Milliseconds;
using framework::Result;

namespace {

constexpr auto s_defaultTimeout = Milliseconds(60'000);
constexpr auto s_maxTimeout = Milliseconds(600'000);
constexpr auto s_maxNameLength = std::size_t{200};
constexpr auto s_maxTurn = std::int64_t{1'000'000};

auto splitPath(std::string_view path) -> std::vector<std::string_view>
{
    auto parts = std::vector<std::string_view>();
    auto position = std::size_t{0};
    while (position < path.size()) {
        const auto end = std::min(path.find('/', position), path.size());
        if (end > position) {
            parts.push_back(path.substr(position, end - position));
        }
        position = end + 1;
    }
    return parts;
}

auto isName(std::string_view text) -> bool
{
    const auto isAllowed = [](char letter) {
        return (letter >= 'a' && letter <= 'z') || (letter >= 'A' && letter <= 'Z') || (letter >= '0' && letter <= '9') ||
               std::string_view("-_.:").find(letter) != std::string_view::npos;
    };
    return !text.empty() && text.size() <= s_maxNameLength && std::ranges::all_of(text, isAllowed);
}

auto bodyObject(const HttpRequest& request) -> Result<Json>
{
    auto document = framework::parseJson(request.body);
    if (!document || !document->is_object()) {
        return framework::failure(GatewayError::BodyNotJson);
    }
    return std::move(*document);
}

auto nameField(const Json& document, const char* key) -> Result<std::string>
{
    if (!document.contains(key)) {
        return GatewayError::FieldMissing;
    }
    auto name = framework::stringAt(document, key);
    if (!isName(name)) {
        return GatewayError::FieldInvalid;
    }
    return name;
}

auto streamField(const Json& document) -> Result<bool>
{
    if (document.contains("stream") && !document["stream"].is_boolean()) {
        return GatewayError::FieldInvalid;
    }
    return framework::boolAt(document, "stream");
}

auto parseProgramCall(const HttpRequest& request, std::string_view program) -> Result<CallerRequest>
{
    BOOST_OUTCOME_TRY(const auto document, bodyObject(request));
    auto call = ProgramCallRequest();
    call.program = program;
    BOOST_OUTCOME_TRY(call.call, nameField(document, "call"));
    BOOST_OUTCOME_TRY(call.route, nameField(document, "route"));
    BOOST_OUTCOME_TRY(call.stream, streamField(document));
    if (!document.contains("turn") || !document.contains("body")) {
        return GatewayError::FieldMissing;
    }
    const auto turn = framework::integerAt(document, "turn");
    if (turn < 1 || turn > s_maxTurn || !document["body"].is_object()) {
        return GatewayError::FieldInvalid;
    }
    call.turn = static_cast<std::uint32_t>(turn);
    call.body = framework::dumpJson(document["body"]);
    return CallerRequest(std::move(call));
}

auto parseChatCompletions(const HttpRequest& request) -> Result<CallerRequest>
{
    BOOST_OUTCOME_TRY(const auto document, bodyObject(request));
    auto call = SingleCallRequest();
    BOOST_OUTCOME_TRY(call.route, nameField(document, "model"));
    BOOST_OUTCOME_TRY(call.stream, streamField(document));
    if (!document.contains("messages")) {
        return GatewayError::FieldMissing;
    }
    if (!document["messages"].is_array()) {
        return GatewayError::FieldInvalid;
    }
    call.body = framework::dumpJson(document);
    call.chatCompletions = true;
    call.idempotencyKey = framework::headerValue(request.headers, "Idempotency-Key");
    return CallerRequest(std::move(call));
}

auto parseSingleCall(const HttpRequest& request, std::string_view route) -> Result<CallerRequest>
{
    BOOST_OUTCOME_TRY(const auto document, bodyObject(request));
    auto call = SingleCallRequest();
    call.route = route;
    call.idempotencyKey = framework::headerValue(request.headers, "Idempotency-Key");
    call.body = framework::dumpJson(document);
    if (call.idempotencyKey.size() > s_maxNameLength) {
        return GatewayError::FieldInvalid;
    }
    return CallerRequest(std::move(call));
}

auto parseStart(const HttpRequest& request) -> Result<CallerRequest>
{
    if (request.body.empty()) {
        return CallerRequest(StartProgramRequest());
    }
    BOOST_OUTCOME_TRY(const auto document, bodyObject(request));
    if (!document.contains("parent")) {
        return CallerRequest(StartProgramRequest());
    }
    BOOST_OUTCOME_TRY(auto parent, nameField(document, "parent"));
    return CallerRequest(StartProgramRequest{std::move(parent)});
}

auto parseProgramRequest(const HttpRequest& request, const std::vector<std::string_view>& parts) -> Result<CallerRequest>
{
    const auto& method = request.method;
    if (parts.size() == 2) {
        if (method != "POST") {
            return GatewayError::MethodNotAllowed;
        }
        return parseStart(request);
    }
    if (!isName(parts[2])) {
        return GatewayError::FieldInvalid;
    }
    if (parts.size() == 3 && method == "GET") {
        return CallerRequest(ProgramStatusRequest{std::string(parts[2])});
    }
    if (parts.size() == 3 && method == "DELETE") {
        return CallerRequest(EndProgramRequest{std::string(parts[2])});
    }
    if (parts.size() == 4 && parts[3] == "calls" && method == "POST") {
        return parseProgramCall(request, parts[2]);
    }
    return parts.size() <= 4 ? GatewayError::MethodNotAllowed : GatewayError::PathUnknown;
}

} // namespace

auto parseCallerRequest(const HttpRequest& request) -> Result<CallerRequest>
{
    const auto parts = splitPath(request.path);
    if (parts.size() < 2 || parts[0] != "v1") {
        return GatewayError::PathUnknown;
    }
    if (parts[1] == "programs") {
        return parseProgramRequest(request, parts);
    }
    const auto isChat = parts.size() == 3 && parts[1] == "chat" && parts[2] == "completions";
    const auto isSingle = parts.size() == 3 && parts[1] == "calls" && isName(parts[2]);
    if (!isChat && !isSingle) {
        return GatewayError::PathUnknown;
    }
    if (request.method != "POST") {
        return GatewayError::MethodNotAllowed;
    }
    return isChat ? parseChatCompletions(request) : parseSingleCall(request, parts[2]);
}

auto presentedKey(const HttpRequest& request) -> std::string_view
{
    constexpr auto scheme = std::string_view("Bearer ");
    const auto authorization = framework::headerValue(request.headers, "Authorization");
    if (authorization.starts_with(scheme)) {
        return authorization.substr(scheme.size());
    }
    return framework::headerValue(request.headers, "X-Api-Key");
}

auto requestedTimeout(const HttpRequest& request) -> Milliseconds
{
    const auto text = framework::headerValue(request.headers, "X-Timeout-Ms");
    auto milliseconds = std::int64_t{0};
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), milliseconds);
    if (error != std::errc() || milliseconds < 1) {
        return s_defaultTimeout;
    }
    return std::min(Milliseconds(milliseconds), s_maxTimeout);
}

} // namespace laburnummill::gateway
