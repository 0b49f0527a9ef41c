#pragma once

#include "framework/global/async.h"
#include "framework/global/json.h"
#include "framework/http/ihttphandler.h"

#include <string>

namespace laburnummill::testing {

/// What a fake has been told to do wrong. Set over `PUT /faults`, read over `GET /faults`.
struct FaultPlan
{
    bool down = false;                 ///< answers 503
    std::int64_t delayMs = 0;          ///< before each answer
    std::int64_t loseAnswers = 0;      ///< so many answers are lost after the effect
    std::int64_t loseWriteAnswers = 0; ///< the same, of the table service's writes only
    bool hang = false;                 ///< answers nothing until told otherwise
    bool cold = false;                 ///< an engine in a cold start
    std::string crashOn;               ///< a request whose body holds this crashes the back end
    std::int64_t crossAnswers = 0;     ///< so many answers carry another request's id
    std::int64_t truncateAnswers = 0;  ///< so many streams break off
    bool firstTokenAtOnce = false;     ///< an engine that streams its first token without its interval
    std::string cutOffDataCentre;      ///< the platform refuses this data centre
    std::int64_t hostListLagMs = 0;

    auto toJson() const -> framework::Json;
    auto update(const framework::Json& document) -> void;
};

/// Answers the requests to `/faults`; false where the request is another.
auto answerFaults(FaultPlan& plan, const framework::HttpRequest& request, framework::IHttpResponder& responder) -> framework::Async<bool>;

} // namespace laburnummill::testing
