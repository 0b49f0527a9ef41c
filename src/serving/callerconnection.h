#pragma once

#include "serving/ianswer.h"
#include "serving/requestrun.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <memory>

namespace laburnummill::serving {

/// What the connections of callers share.
struct CallerSide
{
    ServingParts& parts;
    const IWire& wire;
    bool isStopping = false;
    int openRequests = 0;
};

/// One caller's connection: reads requests one after the other, passes answers back.
class CallerConnection final : public IAnswer, public std::enable_shared_from_this<CallerConnection>
{
public:
    CallerConnection(framework::asio::ip::tcp::socket socket, CallerSide& side);

    auto run() -> framework::Async<void>;

    /// Closes the connection where no request is under way or half read.
    auto closeIfIdle() -> void;

    auto refuse(Refusal refusal, std::optional<framework::Milliseconds> retryAfter) -> framework::Async<void> override;
    auto whole(const http::response_header<>& head, std::string body) -> framework::Async<bool> override;
    auto begin(const http::response_header<>& head) -> framework::Async<bool> override;
    auto piece(std::string_view bytes) -> framework::Async<bool> override;
    auto end() -> framework::Async<bool> override;
    auto breakOff() -> void override;
    auto hasBegun() const -> bool override { return m_hasBegun; }
    auto callerLeft() -> framework::Cancellation& override { return *m_callerLeft; }

private:
    using Parser = http::request_parser<http::string_body>;

    auto readRequest() -> framework::Async<std::optional<CallerRequest>>;
    auto readWithin(Parser& parser, bool isHeader, framework::Milliseconds timeout) -> framework::Async<boost::system::error_code>;
    auto refuseUnread(const boost::system::error_code& error) -> framework::Async<void>;
    auto handle(CallerRequest request) -> framework::Async<void>;
    auto watch() -> void;
    auto write(std::string text) -> framework::Async<bool>;
    auto headText(const http::response_header<>& head, std::string_view framing) const -> std::string;
    auto limits() const -> routing::CallerLimits;
    auto close() -> void;

    framework::asio::ip::tcp::socket m_socket;
    CallerSide& m_side;
    boost::beast::flat_buffer m_buffer;
    framework::asio::steady_timer m_timer;
    framework::CancellationPtr m_callerLeft;
    std::string m_requestId;
    std::string m_pendingHead; ///< written with the first piece
    bool m_keepsOpen = true;
    bool m_isHead = false;
    bool m_isBusy = false;
    bool m_hasBegun = false;
    bool m_isBroken = false;
    bool m_isWatching = false;
};

} // namespace laburnummill::serving
