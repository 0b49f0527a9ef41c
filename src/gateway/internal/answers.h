#pragma once

#include "calls/calltypes.h"
#include "framework/http/httptypes.h"
#include "programs/iprograms.h"

namespace laburnummill::gateway {

/// Maps a kind of failure to an HTTP status.
auto statusOf(framework::FailureKind kind) -> unsigned;

/// The HTTP response for a failure: status, JSON body and, if the call may be retried, a Retry-After header.
auto failureResponse(const calls::CallFailure& failure) -> framework::HttpResponse;

/// The JSON body that callers receive for a failure.
auto failureBody(const calls::CallFailure& failure) -> framework::Json;

auto jsonResponse(unsigned status, const framework::Json& body) -> framework::HttpResponse;

/// The non-streamed HTTP response for an answer. With `chatCompletions`, leaves out the fields that the chat-completions format
/// does not have.
auto answerResponse(const calls::CallAnswer& answer, const std::string& id, const std::string& model, bool chatCompletions)
    -> framework::HttpResponse;

auto statusBody(const programs::ProgramStatus& status) -> framework::Json;

/// One server-sent event with a piece of generated text, in the chat-completions format.
auto textEvent(const std::string& id, const std::string& model, const std::string& text) -> std::string;

/// The final events of a stream: finish reason and token usage, then the end marker.
auto closingEvents(const std::string& id, const std::string& model, const calls::CallAnswer& answer) -> std::string;

/// The event that reports a failure after the stream has started. No end marker follows it.
auto failureEvent(const calls::CallFailure& failure) -> std::string;

} // namespace laburnummill::gateway
