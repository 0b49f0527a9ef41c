#pragma once

#include "calls/calltypes.h"
#include "framework/http/httptypes.h"
#include "programs/iprograms.h"

namespace laburnummill::gateway {

/// The HTTP status that fits a kind of failure.
auto statusOf(framework::FailureKind kind) -> unsigned;

/// A failure as a response: its status, its JSON and when to come back.
auto failureResponse(const calls::CallFailure& failure) -> framework::HttpResponse;

/// The JSON of a failure as callers see it.
auto failureBody(const calls::CallFailure& failure) -> framework::Json;

auto jsonResponse(unsigned status, const framework::Json& body) -> framework::HttpResponse;

/// A whole answer as a response; `chatCompletions`: in that dialect.
auto answerResponse(const calls::CallAnswer& answer, const std::string& id, const std::string& model, bool chatCompletions)
    -> framework::HttpResponse;

auto statusBody(const programs::ProgramStatus& status) -> framework::Json;

/// One server-sent event with a piece of text, in the chat-completions dialect.
auto textEvent(const std::string& id, const std::string& model, const std::string& text) -> std::string;

/// The events that close a stream: why it ended, what it used, the end marker.
auto closingEvents(const std::string& id, const std::string& model, const calls::CallAnswer& answer) -> std::string;

/// The event that tells of a failure after the stream has begun; no end marker follows.
auto failureEvent(const calls::CallFailure& failure) -> std::string;

} // namespace laburnummill::gateway
