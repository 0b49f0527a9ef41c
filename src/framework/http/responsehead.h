#pragma once

#include "framework/global/nametable.h"

#include <boost/beast/http/fields.hpp>
#include <boost/beast/http/message.hpp>

#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace laburnummill::framework {

/// The rule of HTTP/1.1 (RFC 9110, RFC 9112) that the header of a response breaks.
enum class HeadFault
{
    Malformed,      ///< it cannot be parsed
    Status,         ///< the status is not one of 100 to 599
    FoldedLine,     ///< a field goes on in a further line
    RepeatedField,  ///< a field that has a single value occurs more than once
    Length,         ///< the length is not a number, or a length is stated although the status excludes a body
    TransferCoding, ///< other than chunked, or with a status or version that excludes it
};

inline constexpr auto s_headFaultNames = NameTable<HeadFault, 6>{{
    {HeadFault::Malformed, "malformed"},
    {HeadFault::Status, "status"},
    {HeadFault::FoldedLine, "folded_line"},
    {HeadFault::RepeatedField, "repeated_field"},
    {HeadFault::Length, "length"},
    {HeadFault::TransferCoding, "transfer_coding"},
}};

struct HeadCheck;

/// The header of a response that keeps to HTTP/1.1. Only headers that pass check() become one, so that a status, or an answer that is
/// passed on, is never read from bytes of another kind.
class ResponseHead
{
public:
    using Header = boost::beast::http::response_header<>;

    /// Lower ones are informational.
    static constexpr auto s_firstFinalStatus = 200U;

    /// Checks what a parser accepts and this class does not. `bytes`: the header as received. `singleFields`: further names of fields that
    /// have a single value.
    static auto check(const Header& header, std::string_view bytes, std::span<const std::string_view> singleFields) -> HeadCheck;

    /// 100 to 599.
    auto status() const -> unsigned { return m_header.result_int(); }
    auto isInformational() const -> bool { return status() < s_firstFinalStatus; }
    auto header() const -> const Header& { return m_header; }

private:
    explicit ResponseHead(Header header)
        : m_header(std::move(header))
    {}

    Header m_header;
};

/// Either a header or the rule that it breaks.
struct HeadCheck
{
    std::optional<ResponseHead> head;
    std::optional<HeadFault> fault;
};

/// The beginning of `bytes` for a log line: printable ASCII, other bytes as \xNN.
auto escapedExcerpt(std::string_view bytes) -> std::string;

} // namespace laburnummill::framework
