#pragma once

#include "framework/global/async.h"
#include "framework/http/responsehead.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>

#include <span>
#include <string>
#include <string_view>

namespace laburnummill::framework {

/// How reading the header of a response ended: with a header, an error of the connection, or a rule that the bytes break.
struct HeadReading
{
    std::optional<ResponseHead> head;
    std::optional<HeadFault> fault;
    boost::system::error_code error; ///< none if the header was received
    std::string excerpt;             ///< of the header, for the log, if it breaks a rule
};

/// Reads the header of a response into `parser`, which then reads the body, and checks it. After a fault the connection is of no further
/// use. `maxBytes`: of the header. `singleFields`: see ResponseHead::check().
template<class Stream, class Parser>
auto readResponseHead(Stream& stream, boost::beast::flat_buffer& buffer, Parser& parser, std::size_t maxBytes,
                      std::span<const std::string_view> singleFields = {}) -> Async<HeadReading>
{
    namespace http = boost::beast::http;
    constexpr auto headEnd = std::string_view("\r\n\r\n");
    constexpr auto readBytes = std::size_t{16 * 1024};
    const auto received = [&buffer] { return std::string_view(static_cast<const char*>(buffer.data().data()), buffer.size()); };
    auto reading = HeadReading();
    auto end = received().find(headEnd);
    while (end == std::string_view::npos) {
        const auto space = boost::beast::read_size(buffer, readBytes);
        if (space == 0 || buffer.size() >= maxBytes) {
            reading.error = http::error::header_limit;
            co_return reading;
        }
        const auto searched = buffer.size() - std::min(buffer.size(), headEnd.size() - 1);
        const auto bytes =
            co_await stream.async_read_some(buffer.prepare(space), boost::asio::redirect_error(boost::asio::use_awaitable, reading.error));
        buffer.commit(bytes);
        end = received().find(headEnd, searched);
        if (reading.error && end == std::string_view::npos) {
            if (reading.error == boost::asio::error::eof) {
                reading.error = buffer.size() > 0 ? http::error::partial_message : http::error::end_of_stream;
            }
            co_return reading;
        }
    }
    const auto bytes = std::string(received().substr(0, end + headEnd.size()));
    reading.error = {};
    co_await http::async_read_header(stream, buffer, parser, boost::asio::redirect_error(boost::asio::use_awaitable, reading.error));
    if (reading.error == http::error::body_limit) {
        co_return reading;
    }
    if (reading.error) {
        reading.fault = HeadFault::Malformed;
    } else {
        auto check = ResponseHead::check(parser.get().base(), bytes, singleFields);
        reading.head = std::move(check.head);
        reading.fault = check.fault;
    }
    reading.excerpt = reading.fault ? escapedExcerpt(bytes) : std::string();
    co_return reading;
}

} // namespace laburnummill::framework
