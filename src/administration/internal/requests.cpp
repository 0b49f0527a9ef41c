#include "administration/internal/requests.h"

#include <charconv>

namespace laburnummill::administration {

using framework::FailureKind;
using framework::HttpResponse;
using framework::Json;

namespace {

constexpr auto s_prefix = std::string_view("/admin/v1/");

auto statusOf(FailureKind kind) -> unsigned
{
    switch (kind) {
    case FailureKind::BadRequest:
    case FailureKind::TooLarge:
        return 400;
    case FailureKind::Unauthenticated:
        return 401;
    case FailureKind::Forbidden:
        return 403;
    case FailureKind::NotFound:
        return 404;
    case FailureKind::Conflict:
        return 409;
    case FailureKind::Timeout:
        return 504;
    default:
        return 503;
    }
}

auto split(std::string_view text, char separator) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    auto position = std::size_t{0};
    while (position < text.size()) {
        const auto end = std::min(text.find(separator, position), text.size());
        if (end > position) {
            parts.emplace_back(text.substr(position, end - position));
        }
        position = end + 1;
    }
    return parts;
}

auto percentDecode(std::string_view text) -> std::string
{
    auto decoded = std::string();
    for (auto index = std::size_t{0}; index < text.size(); ++index) {
        auto value = 0U;
        const auto isEscape = text[index] == '%' && index + 2 < text.size();
        if (isEscape && std::from_chars(&text[index + 1], &text[index + 1] + 2, value, 16).ec == std::errc()) {
            decoded.push_back(static_cast<char>(value));
            index += 2;
        } else {
            decoded.push_back(text[index]);
        }
    }
    return decoded;
}

} // namespace

auto jsonResponse(unsigned status, const Json& body) -> HttpResponse
{
    return {status, {{"Content-Type", "application/json"}}, framework::dumpJson(body)};
}

auto errorResponse(const std::error_code& error, Json details) -> HttpResponse
{
    auto body = Json{{"code", framework::codeOf(error)}, {"message", error.message()}};
    if (!details.is_null()) {
        body["details"] = std::move(details);
    }
    return jsonResponse(statusOf(framework::kindOf(error)), {{"error", std::move(body)}});
}

auto administrationPath(std::string_view path) -> std::vector<std::string>
{
    if (!path.starts_with(s_prefix)) {
        return {};
    }
    return split(path.substr(s_prefix.size()), '/');
}

auto queryOf(std::string_view query) -> std::map<std::string, std::string>
{
    auto values = std::map<std::string, std::string>();
    for (const auto& part : split(query, '&')) {
        const auto equals = part.find('=');
        const auto value = equals == std::string::npos ? std::string() : part.substr(equals + 1);
        values[percentDecode(part.substr(0, equals))] = percentDecode(value);
    }
    return values;
}

} // namespace laburnummill::administration
