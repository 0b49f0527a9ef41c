#include "framework/http/responsehead.h"

#include <boost/beast/core/string.hpp>

#include <algorithm>
#include <array>

namespace laburnummill::framework {

namespace {

namespace http = boost::beast::http;

constexpr auto s_minStatus = 100U;
constexpr auto s_maxStatus = 599U;
constexpr auto s_noContent = 204U;
constexpr auto s_excerptBytes = std::size_t{120};

constexpr auto s_singleFields = std::array<std::string_view, 4>{"Content-Length", "Content-Type", "Transfer-Encoding", "Retry-After"};

auto count(const ResponseHead::Header& header, std::string_view name) -> std::size_t
{
    return header.count(boost::beast::string_view(name.data(), name.size()));
}

auto isNumber(std::string_view text) -> bool
{
    return !text.empty() && std::ranges::all_of(text, [](char character) { return character >= '0' && character <= '9'; });
}

auto valueOf(const ResponseHead::Header& header, http::field field) -> std::string_view
{
    const auto value = header[field];
    return {value.data(), value.size()};
}

auto hasFoldedLine(std::string_view bytes) -> bool
{
    return bytes.find("\n ") != std::string_view::npos || bytes.find("\n\t") != std::string_view::npos;
}

auto faultOf(const ResponseHead::Header& header, std::string_view bytes, std::span<const std::string_view> singleFields)
    -> std::optional<HeadFault>
{
    const auto status = header.result_int();
    if (status < s_minStatus || status > s_maxStatus) {
        return HeadFault::Status;
    }
    if (hasFoldedLine(bytes)) {
        return HeadFault::FoldedLine;
    }
    const auto isRepeated = [&header](std::string_view name) { return count(header, name) > 1; };
    if (std::ranges::any_of(s_singleFields, isRepeated) || std::ranges::any_of(singleFields, isRepeated)) {
        return HeadFault::RepeatedField;
    }
    const auto excludesBody = status < ResponseHead::s_firstFinalStatus || status == s_noContent;
    if (header.count(http::field::content_length) > 0) {
        const auto length = valueOf(header, http::field::content_length);
        const auto isZero = length.find_first_not_of('0') == std::string_view::npos;
        if (!isNumber(length) || (excludesBody && !isZero)) {
            return HeadFault::Length;
        }
    }
    if (header.count(http::field::transfer_encoding) > 0) {
        const auto isChunked = boost::beast::iequals(header[http::field::transfer_encoding], "chunked");
        if (!isChunked || excludesBody || header.version() < 11) {
            return HeadFault::TransferCoding;
        }
    }
    return std::nullopt;
}

} // namespace

auto ResponseHead::check(const Header& header, std::string_view bytes, std::span<const std::string_view> singleFields) -> HeadCheck
{
    if (const auto fault = faultOf(header, bytes, singleFields)) {
        return {.head = std::nullopt, .fault = fault};
    }
    return {.head = ResponseHead(header), .fault = std::nullopt};
}

auto escapedExcerpt(std::string_view bytes) -> std::string
{
    constexpr auto digits = std::string_view("0123456789ABCDEF");
    auto text = std::string();
    for (const auto character : bytes.substr(0, s_excerptBytes)) {
        if (character >= ' ' && character <= '~' && character != '\\') {
            text += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        text.append("\\x").append(1, digits[byte >> 4U]).append(1, digits[byte & 0xfU]);
    }
    return text;
}

} // namespace laburnummill::framework
