#include "testing/fakes/faultplan.h"

namespace laburnummill::testing {

using framework::Json;

auto FaultPlan::toJson() const -> Json
{
    return {
        {"down", down},
        {"delayMs", delayMs},
        {"loseAnswers", loseAnswers},
        {"loseWriteAnswers", loseWriteAnswers},
        {"hang", hang},
        {"cold", cold},
        {"crashOn", crashOn},
        {"crossAnswers", crossAnswers},
        {"truncateAnswers", truncateAnswers},
        {"cutOffDataCentre", cutOffDataCentre},
        {"hostListLagMs", hostListLagMs},
    };
}

auto FaultPlan::update(const Json& document) -> void
{
    down = framework::boolAt(document, "down", down);
    delayMs = framework::integerAt(document, "delayMs", delayMs);
    loseAnswers = framework::integerAt(document, "loseAnswers", loseAnswers);
    loseWriteAnswers = framework::integerAt(document, "loseWriteAnswers", loseWriteAnswers);
    hang = framework::boolAt(document, "hang", hang);
    cold = framework::boolAt(document, "cold", cold);
    crashOn = framework::stringAt(document, "crashOn", crashOn);
    crossAnswers = framework::integerAt(document, "crossAnswers", crossAnswers);
    truncateAnswers = framework::integerAt(document, "truncateAnswers", truncateAnswers);
    cutOffDataCentre = framework::stringAt(document, "cutOffDataCentre", cutOffDataCentre);
    hostListLagMs = framework::integerAt(document, "hostListLagMs", hostListLagMs);
}

auto answerFaults(FaultPlan& plan, const framework::HttpRequest& request, framework::IHttpResponder& responder) -> framework::Async<bool>
{
    if (request.path != "/faults") {
        co_return false;
    }
    if (request.method == "PUT") {
        plan.update(framework::parseJson(request.body).value_or(Json::object()));
    }
    (void)co_await responder.respond({200, {{"Content-Type", "application/json"}}, framework::dumpJson(plan.toJson())});
    co_return true;
}

} // namespace laburnummill::testing
