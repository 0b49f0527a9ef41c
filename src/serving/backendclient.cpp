#include "serving/backendclient.h"

#include "framework/http/responsereading.h"
#include "serving/serverleavelog.h"
#include "serving/serverlimitlog.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>

#include <array>

namespace laburnummill::serving {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::CancellationPtr;
using framework::Milliseconds;

/// Exceeds any header of a backend server's response.
constexpr auto s_headLimit = std::uint32_t{64 * 1024};

/// Maximum number of responses to earlier requests, and of informational ones, that may precede the expected response.
constexpr auto s_maxSkippedResponses = 3;

/// Servers take longer than this to process a request, and the latency between data centres is 1 ms. If a connection closes
/// sooner, the server had already dropped it.
constexpr auto s_minWorkTime = Milliseconds(6);

/// If nothing arrives for this long after a request was sent, the network path may be broken.
constexpr auto s_silence = Milliseconds(500);

/// Exceeds the body of any answer to a health probe.
constexpr auto s_probeBodyLimit = std::uint64_t{64 * 1024};

constexpr auto s_chunkBytes = std::size_t{16 * 1024};

using Parser = http::response_parser<http::buffer_body>;

auto formatHead(const http::request_header<>& head, std::size_t bodyBytes) -> std::string
{
    auto text = std::string(head.method_string()) + ' ' + std::string(head.target()) + " HTTP/1.1\r\n";
    for (const auto& field : head) {
        text += std::string(field.name_string()) + ": " + std::string(field.value()) + "\r\n";
    }
    if (bodyBytes > 0 || (head.method() != http::verb::get && head.method() != http::verb::head)) {
        text += "Content-Length: " + std::to_string(bodyBytes) + "\r\n";
    }
    return text + "\r\n";
}

/// Whether the response is that of the server that the request was sent to. It echoes the request's id. A server other than the
/// one that the request names responds with 421.
auto isFromExpectedServer(const framework::ResponseHead& head, const ReplyMetadata& metadata, const CallerRequest& request) -> bool
{
    return metadata.requestId == request.id && head.status() != static_cast<unsigned>(http::status::misdirected_request);
}

/// Records what the header of a server's answer states about the server itself.
auto recordStatements(backends::Backend& backend, const ReplyMetadata& metadata, framework::Instant sentAt, framework::Instant now) -> void
{
    if (metadata.isServerLeaving) {
        const auto wasLeaving = backend.leave->isLeaving();
        backend.leave->recordAnswer(now);
        logLeaveChange(backend, wasLeaving, now);
    }
    if (metadata.load) {
        backend.load.recordAnswer(*metadata.load, now);
    }
    const auto limit = backend.limit->current(now);
    backend.limit->recordAnswer(metadata.limitPerSecond, sentAt, now);
    logLimitChange(backend, limit, now);
}

auto framingOf(const Parser& parser) -> ResponseFraming
{
    if (parser.chunked()) {
        return ResponseFraming::Chunks;
    }
    return parser.need_eof() ? ResponseFraming::ConnectionEnd : ResponseFraming::Length;
}

/// How reading a body ended.
struct BodyEnd
{
    AttemptFault fault = AttemptFault::None;
    boost::system::error_code error; ///< of the connection
    bool isTooLarge = false;         ///< the body exceeds the parser's limit
};

/// Reads the rest of a body and passes each chunk to `consume`, which returns false to end it.
template<class Consumer>
auto readBody(BackendConnection& connection, Parser& parser, Consumer consume) -> Async<BodyEnd>
{
    auto storage = std::array<char, s_chunkBytes>();
    while (!parser.is_done()) {
        parser.get().body().data = storage.data();
        parser.get().body().size = storage.size();
        auto error = boost::system::error_code();
        co_await http::async_read_some(connection.stream, connection.buffer, parser, asio::redirect_error(asio::use_awaitable, error));
        if (error == http::error::need_buffer) {
            error = {};
        }
        const auto read = storage.size() - parser.get().body().size;
        if (error) {
            co_return BodyEnd{.fault = AttemptFault::ReadingBody,
                              .error = error,
                              .isTooLarge = error == http::error::body_limit || error == http::error::buffer_overflow};
        }
        if (read > 0 && !co_await consume(std::string_view(storage.data(), read))) {
            co_return BodyEnd{.fault = AttemptFault::PassingOn, .error = {}};
        }
    }
    co_return BodyEnd();
}

auto noteEnd(AttemptResult& result, const BodyEnd& end) -> void
{
    result.fault = end.fault;
    result.error = end.error;
    result.isTooLarge = result.isTooLarge || end.isTooLarge;
}

auto noteUnread(AttemptResult& result, framework::HeadReading reading) -> void
{
    const auto error = reading.error;
    result.isTooLarge = error == http::error::header_limit || error == http::error::body_limit || error == http::error::buffer_overflow;
    result.fault = AttemptFault::ReadingHeader;
    result.error = error;
    result.headFault = reading.fault;
    result.headExcerpt = std::move(reading.excerpt);
}

/// Reads the rest of the expected response and decides the attempt's outcome. Returns whether the connection can be kept.
auto receiveBody(BackendConnection& connection, Parser& parser, const CallerRequest& request, IStreamHandler* streamHandler,
                 AttemptResult& result) -> Async<bool>
{
    const auto& head = *result.head;
    const auto& metadata = result.metadata;
    const auto isSuccess = result.isSuccess();
    const auto isStreamed =
        streamHandler != nullptr && isSuccess && metadata.isSigned && !metadata.isEncoded && metadata.requestId == request.id;
    result.outcome = AttemptOutcome::Truncated;
    if (isStreamed && !co_await streamHandler->onHead(head)) {
        result.fault = AttemptFault::PassingOn;
        co_return false;
    }
    const auto consume = [&result, streamHandler, isStreamed](std::string_view bytes) -> Async<bool> {
        if (!result.memory.grow(bytes.size())) {
            result.isHostFull = true;
            co_return false;
        }
        if (isStreamed) {
            co_return co_await streamHandler->onChunk(bytes);
        }
        result.body += bytes;
        co_return true;
    };
    noteEnd(result, co_await readBody(connection, parser, consume));
    if (result.fault == AttemptFault::None && isStreamed && !streamHandler->isComplete(*result.framing)) {
        result.fault = AttemptFault::Incomplete;
    }
    if (result.fault != AttemptFault::None) {
        co_return false;
    }
    const auto isNotRun = metadata.saysNotRun && !isSuccess;
    result.outcome = isNotRun ? AttemptOutcome::NotRun : AttemptOutcome::Answered;
    if (head.status() == static_cast<unsigned>(http::status::misdirected_request)) {
        result.outcome = AttemptOutcome::Misdirected;
    } else if (isSuccess && (!metadata.isSigned || metadata.isEncoded || metadata.requestId != request.id)) {
        result.outcome = AttemptOutcome::Lost;
    }
    connection.idleTimeout = metadata.idleTimeout.value_or(Milliseconds(0));
    co_return parser.keep_alive() && !parser.need_eof() && result.outcome != AttemptOutcome::Lost;
}

} // namespace

BackendClient::BackendClient(BackendConnectionPool& connections, const IWireCodec& wire, const framework::IClock& clock,
                             scheduling::BufferMemory& memory)
    : m_connections(connections)
    , m_wire(wire)
    , m_clock(clock)
    , m_memory(memory)
{}

auto BackendClient::attempt(const backends::BackendPtr& backend, const CallerRequest& request, BackendTarget target,
                            IStreamHandler* streamHandler, CancellationPtr cancellation) -> Async<AttemptResult>
{
    auto result = AttemptResult();
    result.memory = scheduling::BufferMemory::Share(m_memory, "server " + backend->entry.id);
    const auto startedAt = m_clock.now();
    const auto connection = co_await m_connections.acquire(backend, ConnectionUse::Requests, request.id, cancellation);
    if (!connection) {
        result.outcome = cancellation->cancelled() ? AttemptOutcome::CancelledUnsent : AttemptOutcome::NotSent;
        co_return result;
    }
    const auto weak = std::weak_ptr(connection);
    cancellation->onCancel([weak] {
        if (const auto found = weak.lock()) {
            found->stream.close();
        }
    });
    if (!connection->stream.isOpen()) {
        result.outcome = AttemptOutcome::CancelledUnsent;
        co_return result;
    }
    target.remainingTime -= std::chrono::duration_cast<Milliseconds>(m_clock.now() - startedAt);
    result.isRelayed = !connection->relay.empty();
    ++connection->requests;
    result.outcome = AttemptOutcome::Lost;
    result.sentAt = m_clock.now();
    result.error = co_await send(*connection, request, target);
    result.fault = result.error ? AttemptFault::Sending : AttemptFault::None;
    const auto isWhole = !result.error && co_await receive(*connection, backend, request, streamHandler, result);
    const auto isNothingReceived = !result.head && !result.headFault && connection->buffer.size() == 0;
    result.isClosedImmediately =
        result.outcome == AttemptOutcome::Lost && isNothingReceived && m_clock.now() < result.sentAt + s_minWorkTime;
    const auto isSilent = isNothingReceived && m_clock.now() >= result.sentAt + s_silence;
    if (isSilent) {
        m_connections.reportSilence(*backend, *connection);
    }
    if (cancellation->cancelled() && (result.outcome == AttemptOutcome::Lost || result.outcome == AttemptOutcome::Truncated)) {
        result.outcome = AttemptOutcome::Cancelled;
        co_return result;
    }
    if (isWhole) {
        m_connections.release(backend, connection);
    } else if (result.isClosedImmediately && connection->requests > 1) {
        m_connections.reportReset(backend, *connection);
    }
    co_return result;
}

auto BackendClient::probe(const backends::BackendPtr& backend, const std::string& healthPath, CancellationPtr cancellation) -> Async<bool>
{
    const auto connection = co_await m_connections.acquire(backend, ConnectionUse::Probes, {}, cancellation);
    if (!connection || !connection->stream.isOpen()) {
        co_return false;
    }
    const auto weak = std::weak_ptr(connection);
    cancellation->onCancel([weak] {
        if (const auto found = weak.lock()) {
            found->stream.close();
        }
    });
    auto request = CallerRequest();
    request.method = "GET";
    request.target = healthPath;
    ++connection->requests;
    const auto target = BackendTarget{.instance = backend->entry.id, .account = {}, .remainingTime = s_silence};
    auto parser = Parser();
    parser.header_limit(s_headLimit);
    parser.body_limit(s_probeBodyLimit);
    if (co_await send(*connection, request, target)) {
        co_return false;
    }
    const auto reading =
        co_await framework::readResponseHead(connection->stream, connection->buffer, parser, s_headLimit, m_wire.singleResponseFields());
    const auto ignore = [](std::string_view) -> Async<bool> { co_return true; };
    if (!reading.head || reading.head->isInformational() || (co_await readBody(*connection, parser, ignore)).fault != AttemptFault::None) {
        co_return false;
    }
    m_connections.reportAnswer(*connection);
    const auto metadata = m_wire.decodeReply(reading.head->header());
    const auto isFromServer = metadata.instance == backend->entry.id;
    if (isFromServer && metadata.load) {
        backend->load.recordAnswer(*metadata.load, m_clock.now());
    }
    connection->idleTimeout = metadata.idleTimeout.value_or(Milliseconds(0));
    if (isFromServer && parser.keep_alive() && !parser.need_eof()) {
        m_connections.release(backend, connection);
    }
    co_return isFromServer;
}

auto BackendClient::send(BackendConnection& connection, const CallerRequest& request, const BackendTarget& target)
    -> Async<boost::system::error_code>
{
    const auto head = formatHead(m_wire.encodeRequest(request, target), request.body.size());
    const auto buffers = std::array{asio::buffer(head), asio::buffer(request.body)};
    auto error = boost::system::error_code();
    co_await asio::async_write(connection.stream, buffers, asio::redirect_error(asio::use_awaitable, error));
    co_return error;
}

auto BackendClient::receive(BackendConnection& connection, const backends::BackendPtr& backend, const CallerRequest& request,
                            IStreamHandler* streamHandler, AttemptResult& result) -> Async<bool>
{
    const auto startedAt = m_clock.now();
    for (auto skipped = 0; skipped <= s_maxSkippedResponses; ++skipped) {
        auto parser = Parser();
        parser.header_limit(s_headLimit);
        parser.body_limit(m_memory.maxResponse());
        parser.skip(request.method == "HEAD");
        auto reading =
            co_await framework::readResponseHead(connection.stream, connection.buffer, parser, s_headLimit, m_wire.singleResponseFields());
        if (!reading.head) {
            noteUnread(result, std::move(reading));
            co_return false;
        }
        m_connections.reportAnswer(connection);
        const auto& head = *reading.head;
        if (head.status() == static_cast<unsigned>(http::status::switching_protocols)) {
            co_return false; // No request asks for it.
        }
        if (head.isInformational()) {
            continue;
        }
        const auto metadata = m_wire.decodeReply(head.header());
        if (!metadata.requestId.empty() && metadata.requestId != request.id) {
            // The response to an abandoned request; the expected response follows it.
            noteEnd(result, co_await readBody(connection, parser, [](std::string_view) -> Async<bool> { co_return true; }));
            if (result.fault != AttemptFault::None || !parser.keep_alive()) {
                co_return false;
            }
            continue;
        }
        result.head = head;
        if (metadata.requestId.empty() && connection.requests > 1) {
            co_return false; // It may be a late response to an earlier request, so that it does not tell whether this one ran.
        }
        result.metadata = metadata;
        result.framing = framingOf(parser);
        if (isFromExpectedServer(head, metadata, request)) {
            recordStatements(*backend, metadata, result.sentAt, m_clock.now());
        }
        result.toHead = std::chrono::duration_cast<Milliseconds>(m_clock.now() - startedAt);
        co_return co_await receiveBody(connection, parser, request, streamHandler, result);
    }
    co_return false;
}

} // namespace laburnummill::serving
