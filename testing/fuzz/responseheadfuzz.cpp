#include "framework/http/responsehead.h"

#include <boost/beast/http/empty_body.hpp>
#include <boost/beast/http/parser.hpp>

#include <array>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <string>
#include <vector>

// The grammar of response headers, with mutations: no header may pass that a second reader, written from RFC 9112, does not accept.

namespace {

namespace http = boost::beast::http;
using laburnummill::framework::ResponseHead;
using namespace std::string_view_literals;

constexpr auto s_singleFields = std::array{"Request-Id"sv, "Response-Signature"sv};

constexpr auto s_pieces = std::to_array<std::string_view>({"HTTP/1.1 200 OK\r\n",
                                                           "HTTP/1.1 000 X\r\n",
                                                           "HTTP/1.1 599 \r\n",
                                                           "HTTP/1.0 204 X\r\n",
                                                           "HTTP/1.1 600 X\r\n",
                                                           "Content-Length",
                                                           "Transfer-Encoding",
                                                           "Request-Id",
                                                           "Response-Signature",
                                                           "X-Field",
                                                           ": ",
                                                           ":",
                                                           " : ",
                                                           "4",
                                                           "4, 4",
                                                           "chunked",
                                                           "gzip",
                                                           "chunked, gzip",
                                                           "a",
                                                           "\r\n",
                                                           "\n",
                                                           "\r",
                                                           "\r\n ",
                                                           "\r\n\t",
                                                           " ",
                                                           "\t",
                                                           "\x01"sv,
                                                           "\x7f"sv,
                                                           "\xff"sv,
                                                           "\0"sv,
                                                           "HTTP/1.1 100 Continue\r\n",
                                                           "Content-Type"});

auto isTokenCharacter(char character) -> bool
{
    constexpr auto others = "!#$%&'*+-.^_`|~"sv;
    return (character >= '0' && character <= '9') || (character >= 'a' && character <= 'z') || (character >= 'A' && character <= 'Z') ||
           others.find(character) != std::string_view::npos;
}

auto isText(std::string_view text) -> bool
{
    for (const auto character : text) {
        const auto byte = static_cast<unsigned char>(character);
        if (byte == 0x7f || (byte < 0x20 && byte != '\t')) {
            return false;
        }
    }
    return true;
}

auto isStartLine(std::string_view line) -> bool
{
    const auto isVersion = line.starts_with("HTTP/1.1 ") || line.starts_with("HTTP/1.0 ");
    if (!isVersion || line.size() < 13 || line[12] != ' ' || line[9] < '1' || line[9] > '5') {
        return false;
    }
    const auto isDigit = [&line](std::size_t at) { return line[at] >= '0' && line[at] <= '9'; };
    return isDigit(10) && isDigit(11) && isText(line.substr(13));
}

/// Reads a header as RFC 9112 defines it, without what that merely tolerates.
auto isStrict(std::string_view head) -> bool
{
    auto lines = std::vector<std::string_view>();
    while (!head.empty()) {
        const auto end = head.find("\r\n");
        if (end == std::string_view::npos) {
            return false;
        }
        lines.push_back(head.substr(0, end));
        head.remove_prefix(end + 2);
    }
    if (lines.size() < 2 || !lines.back().empty() || !isStartLine(lines.front())) {
        return false;
    }
    auto seen = std::multiset<std::string>();
    for (auto index = std::size_t{1}; index + 1 < lines.size(); ++index) {
        const auto colon = lines[index].find(':');
        const auto name = lines[index].substr(0, colon);
        if (colon == std::string_view::npos || name.empty() || !isText(lines[index].substr(colon))) {
            return false;
        }
        auto lower = std::string();
        for (const auto character : name) {
            if (!isTokenCharacter(character)) {
                return false;
            }
            lower += static_cast<char>(std::tolower(character));
        }
        seen.insert(lower);
    }
    const auto areSingle = seen.count("content-length") < 2 && seen.count("transfer-encoding") < 2 && seen.count("request-id") < 2 &&
                           seen.count("response-signature") < 2;
    return areSingle && !(seen.contains("content-length") && seen.contains("transfer-encoding"));
}

} // namespace

/// The input: the first byte tells whether each further one is a piece of the grammar or a byte of the header.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int // NOLINT(readability-identifier-naming)
{
    auto text = std::string();
    for (auto index = std::size_t{1}; index < size; ++index) {
        text += data[0] % 2 == 1 ? std::string(s_pieces[data[index] % s_pieces.size()]) : std::string(1, static_cast<char>(data[index]));
    }
    text += "\r\n\r\n";
    const auto head = text.substr(0, text.find("\r\n\r\n") + 4);
    auto parser = http::response_parser<http::empty_body>();
    auto error = boost::system::error_code();
    parser.put(boost::asio::buffer(head), error);
    if (error || !parser.is_header_done()) {
        return 0;
    }
    const auto check = ResponseHead::check(parser.get().base(), head, s_singleFields);
    if (check.head && (!isStrict(head) || check.head->status() < 100 || check.head->status() > 599)) {
        std::abort();
    }
    return 0;
}
