#include "framework/http/httptypes.h"

#include <algorithm>
#include <charconv>

namespace laburnummill::framework {

namespace {

auto lower(char letter) -> char
{
    return letter >= 'A' && letter <= 'Z' ? static_cast<char>(letter - 'A' + 'a') : letter;
}

} // namespace

auto HeaderLess::operator()(std::string_view left, std::string_view right) const -> bool
{
    return std::ranges::lexicographical_compare(left, right, {}, lower, lower);
}

auto headerValue(const Headers& headers, std::string_view name) -> std::string_view
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string_view() : std::string_view(found->second);
}

auto Endpoint::parse(std::string_view text) -> Endpoint
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return {};
    }
    auto port = std::uint16_t{0};
    const auto digits = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    if (error != std::errc() || end != digits.data() + digits.size()) {
        return {};
    }
    return {std::string(text.substr(0, colon)), port};
}

} // namespace laburnummill::framework
