#pragma once

#include "serving/backendconnectionpool.h"
#include "serving/iresponsewriter.h"

#include <functional>

namespace laburnummill::serving {

/// How one attempt at a backend server ended.
enum class AttemptOutcome
{
    Answered,    ///< the whole answer was read, and passed on where it came in pieces
    NotSent,     ///< no byte left this host
    NotRun,      ///< the server says that it did not run the request
    Misdirected, ///< another server has the address; not run
    Lost,        ///< sent, and no usable head of an answer came
    Truncated,   ///< the answer broke off after its head
    Cancelled,   ///< the caller left or the time was over, after it was sent
    CancelledUnsent,
    Overdue, ///< given up on after it was sent, as another server may answer sooner
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

struct AttemptResult
{
    AttemptOutcome outcome = AttemptOutcome::NotSent;
    http::response_header<> head;
    ReplyMetadata metadata;
    std::string body; ///< of answers that do not come in pieces
    framework::Milliseconds toHead{0};
    bool isClosedImmediately = false; ///< the connection ended sooner than any work does, without an answer
};

/// Takes the pieces of an answer as they come; false breaks the attempt off.
class IStreamHandler
{
public:
    virtual ~IStreamHandler() = default;

    virtual auto onHead(const http::response_header<>& head) -> framework::Async<bool> = 0;
    virtual auto onChunk(std::string_view bytes) -> framework::Async<bool> = 0;
};

/// Sends requests to backend servers and reads their answers.
class BackendClient
{
public:
    BackendClient(BackendConnectionPool& connections, const IWireCodec& wire, const framework::IClock& clock);

    /// One attempt. Successful answers go to `streamHandler` as they come where it is given, all others are read whole.
    auto attempt(const backends::BackendPtr& backend, const CallerRequest& request, BackendTarget target, IStreamHandler* streamHandler,
                 framework::CancellationPtr cancellation) -> framework::Async<AttemptResult>;

private:
    auto send(BackendConnection& connection, const CallerRequest& request, const BackendTarget& target) -> framework::Async<bool>;
    auto receive(BackendConnection& connection, const CallerRequest& request, IStreamHandler* streamHandler, AttemptResult& result)
        -> framework::Async<bool>;

    BackendConnectionPool& m_connections;
    const IWireCodec& m_wire;
    const framework::IClock& m_clock;
};

} // namespace laburnummill::serving
