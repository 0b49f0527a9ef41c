#pragma once

#include "scheduling/buffermemory.h"
#include "serving/backendconnectionpool.h"
#include "serving/iresponsewriter.h"
#include "serving/responseframing.h"

#include <functional>

namespace laburnummill::serving {

/// How one attempt at a backend server ended.
enum class AttemptOutcome
{
    Answered,        ///< the complete response was read, and forwarded if it was streamed
    NotSent,         ///< no byte was sent
    NotRun,          ///< the server states that it did not run the request
    Misdirected,     ///< a different server listens at the address; it did not run the request
    Lost,            ///< sent, but no valid response header was received
    Truncated,       ///< the response ended early, after its header
    Cancelled,       ///< the caller disconnected or the deadline passed after the request was sent
    CancelledUnsent, ///< as Cancelled, but before anything was sent
    Overdue,         ///< abandoned after it was sent, because another server may answer sooner
};

inline constexpr auto s_attemptOutcomeNames = framework::NameTable<AttemptOutcome, 9>{{
    {AttemptOutcome::Answered, "answered"},
    {AttemptOutcome::NotSent, "not_sent"},
    {AttemptOutcome::NotRun, "not_run"},
    {AttemptOutcome::Misdirected, "other_server"},
    {AttemptOutcome::Lost, "lost"},
    {AttemptOutcome::Truncated, "broken_off"},
    {AttemptOutcome::Cancelled, "cancelled"},
    {AttemptOutcome::CancelledUnsent, "cancelled_unsent"},
    {AttemptOutcome::Overdue, "overdue"},
}};

/// Where an attempt that did not end as it should have failed. The end of the response comes from the server, unless the error says that
/// this host had closed the connection.
enum class AttemptFault
{
    None,
    Sending,       ///< the request could not be sent
    ReadingHeader, ///< of the response
    ReadingBody,   ///< of the response
    PassingOn,     ///< the caller's connection, or this host, did not take the response
    Incomplete,    ///< the server ended the response before its content did
};

inline constexpr auto s_attemptFaultNames = framework::NameTable<AttemptFault, 6>{{
    {AttemptFault::None, "none"},
    {AttemptFault::Sending, "sending"},
    {AttemptFault::ReadingHeader, "reading_header"},
    {AttemptFault::ReadingBody, "reading_body"},
    {AttemptFault::PassingOn, "passing_on"},
    {AttemptFault::Incomplete, "incomplete"},
}};

struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    std::optional<ResponseFraming> framing;        ///< nullopt if no response header was read
    std::optional<framework::ResponseHead> head;   ///< nullopt if no valid response header was read
    std::optional<framework::HeadFault> headFault; ///< the rule that the response header breaks
    std::string headExcerpt;                       ///< of a header that breaks a rule, for the log
    ReplyMetadata metadata;
    std::string body;                       ///< empty if the response was streamed
    scheduling::BufferMemory::Share memory; ///< what the response occupies
    bool isRelayed = false;                 ///< the connection led through another host
    bool isTooLarge = false;                ///< the response was abandoned because of its size
    bool isHostFull = false;                ///< the response was abandoned because this host had no memory for it
    framework::Instant sentAt{};            ///< when sending the request began
    framework::Milliseconds toHead{0};      ///< from sending the request to reading the response header
    AttemptFault fault = AttemptFault::None;
    boost::system::error_code error;  ///< of the server's connection; none if that did not fail
    bool isClosedImmediately = false; ///< the connection closed without a response, sooner than a server can process a request

    /// Whether the response has a status from `from` on and below `below`.
    auto hasStatus(unsigned from, unsigned below) const -> bool { return head && head->status() >= from && head->status() < below; }
    auto isSuccess() const -> bool { return hasStatus(200, 300); }
    auto isServerError() const -> bool { return hasStatus(500, 600); }
};

/// Receives a streamed response as it arrives. Each method returns false to abort the attempt.
class IStreamHandler
{
public:
    virtual ~IStreamHandler() = default;

    virtual auto onHead(const framework::ResponseHead& head) -> framework::Async<bool> = 0;
    virtual auto onChunk(std::string_view bytes) -> framework::Async<bool> = 0;

    /// Whether the content is complete if its body, framed as `framing`, ends here.
    virtual auto isComplete(ResponseFraming framing) const -> bool = 0;
};

/// Sends requests to backend servers and reads their responses.
class BackendClient
{
public:
    BackendClient(BackendConnectionPool& connections, const IWireCodec& wire, const framework::IClock& clock,
                  scheduling::BufferMemory& memory);

    /// Makes one attempt. If `streamHandler` is not null, successful responses are streamed to it; all others are read into
    /// the result's body.
    auto attempt(const backends::BackendPtr& backend, const CallerRequest& request, BackendTarget target, IStreamHandler* streamHandler,
                 framework::CancellationPtr cancellation) -> framework::Async<AttemptResult>;

    /// Asks a server for its present load and records what it states. Returns false if there was no answer of this server before
    /// `cancellation`.
    auto probe(const backends::BackendPtr& backend, const std::string& healthPath, framework::CancellationPtr cancellation)
        -> framework::Async<bool>;

private:
    /// Returns the error of the connection; none if the request was sent.
    auto send(BackendConnection& connection, const CallerRequest& request, const BackendTarget& target)
        -> framework::Async<boost::system::error_code>;
    auto receive(BackendConnection& connection, const backends::BackendPtr& backend, const CallerRequest& request,
                 IStreamHandler* streamHandler, AttemptResult& result) -> framework::Async<bool>;

    BackendConnectionPool& m_connections;
    const IWireCodec& m_wire;
    const framework::IClock& m_clock;
    scheduling::BufferMemory& m_memory;
};

} // namespace laburnummill::serving
