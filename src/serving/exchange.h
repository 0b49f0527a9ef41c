#pragma once

#include "serving/backendconnections.h"
#include "serving/ianswer.h"

#include <functional>

namespace laburnummill::serving {

/// How one attempt at a backend server ended.
enum class AttemptEnd
{
    Answered,    ///< the whole answer was read, and passed on where it came in pieces
    NotSent,     ///< no byte left this host
    NotRun,      ///< the server says that it did not run the request
    OtherServer, ///< another server has the address; not run
    Lost,        ///< sent, and no usable head of an answer came
    BrokenOff,   ///< the answer broke off after its head
    Cancelled,   ///< the caller left or the time was over, after it was sent
    CancelledUnsent,
    Overdue, ///< given up on after it was sent, as another server may answer sooner
};

inline constexpr auto s_attemptEndNames = framework::NameTable<AttemptEnd, 9>{{
    {AttemptEnd::Answered, "answered"},
    {AttemptEnd::NotSent, "not_sent"},
    {AttemptEnd::NotRun, "not_run"},
    {AttemptEnd::OtherServer, "other_server"},
    {AttemptEnd::Lost, "lost"},
    {AttemptEnd::BrokenOff, "broken_off"},
    {AttemptEnd::Cancelled, "cancelled"},
    {AttemptEnd::CancelledUnsent, "cancelled_unsent"},
    {AttemptEnd::Overdue, "overdue"},
}};

struct AttemptResult
{
    AttemptEnd end = AttemptEnd::NotSent;
    http::response_header<> head;
    ReplyMarks marks;
    std::string body; ///< of answers that do not come in pieces
    framework::Milliseconds toHead{0};
    bool isCutAtOnce = false; ///< the connection ended sooner than any work does, without an answer
};

/// Takes the pieces of an answer as they come; false breaks the attempt off.
class IPieces
{
public:
    virtual ~IPieces() = default;

    virtual auto onHead(const http::response_header<>& head) -> framework::Async<bool> = 0;
    virtual auto onPiece(std::string_view bytes) -> framework::Async<bool> = 0;
};

/// Sends requests to backend servers and reads their answers.
class Exchange
{
public:
    Exchange(BackendConnections& connections, const IWire& wire, const framework::IClock& clock);

    /// One attempt. Successful answers go to `pieces` as they come where it is given, all others are read whole.
    auto attempt(const backends::BackendPtr& backend, const CallerRequest& request, BackendTarget target, IPieces* pieces,
                 framework::CancellationPtr cancellation) -> framework::Async<AttemptResult>;

private:
    auto send(BackendConnection& connection, const CallerRequest& request, const BackendTarget& target) -> framework::Async<bool>;
    auto receive(BackendConnection& connection, const CallerRequest& request, IPieces* pieces, AttemptResult& result)
        -> framework::Async<bool>;

    BackendConnections& m_connections;
    const IWire& m_wire;
    const framework::IClock& m_clock;
};

} // namespace laburnummill::serving
