#pragma once

#include <nlohmann/json.hpp>

#include <optional>
#include <string_view>

namespace laburnummill::framework {

using Json = nlohmann::json;

/// Parses `text`; nothing where it is not JSON. Never throws.
inline auto parseJson(std::string_view text) -> std::optional<Json>
{
    auto document = Json::parse(text, nullptr, false);
    if (document.is_discarded()) {
        return std::nullopt;
    }
    return document;
}

/// Text of `document`; bytes that are not UTF-8 are replaced, so that it never throws.
inline auto dumpJson(const Json& document) -> std::string
{
    return document.dump(-1, ' ', false, Json::error_handler_t::replace);
}

/// The string at `key` of an object, or `fallback`.
inline auto stringAt(const Json& object, const char* key, std::string_view fallback = {}) -> std::string
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_string() ? found->get<std::string>() : std::string(fallback);
}

/// The integer at `key` of an object, or `fallback`.
inline auto integerAt(const Json& object, const char* key, std::int64_t fallback = 0) -> std::int64_t
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_number_integer() ? found->get<std::int64_t>() : fallback;
}

/// The truth value at `key` of an object, or `fallback`.
inline auto boolAt(const Json& object, const char* key, bool fallback = false) -> bool
{
    const auto found = object.is_object() ? object.find(key) : object.end();
    return found != object.end() && found->is_boolean() ? found->get<bool>() : fallback;
}

} // namespace laburnummill::framework
