#pragma once

#include "testing/support/localfleet.h"

namespace laburnummill::testing {

/// Starts a program, or a sub-agent of `parent`; its id, or nothing where it was refused.
inline auto startProgram(const TestCaller& caller, const std::string& parent = {}) -> std::string
{
    const auto response = caller.post("/v1/programs", parent.empty() ? framework::Json::object() : framework::Json{{"parent", parent}});
    return framework::stringAt(framework::parseJson(response.body).value_or(framework::Json::object()), "program");
}

/// A program's model call; the same turn has the same call id, so that it may be sent again.
inline auto takeTurn(const TestCaller& caller, const std::string& program, int turn) -> framework::HttpResponse
{
    const auto message = framework::Json{{"role", "user"}, {"content", "question " + std::to_string(turn)}};
    const auto body = framework::Json{{"call", "call-" + std::to_string(turn)},
                                      {"turn", turn},
                                      {"route", "assistant"},
                                      {"body", {{"messages", framework::Json::array({message})}}}};
    return caller.post("/v1/programs/" + program + "/calls", body);
}

/// Sends the turn until it is answered; the fake engine's reply names how many messages it saw.
inline auto takeTurnUntilAnswered(const TestCaller& caller, const std::string& program, int turn) -> framework::HttpResponse
{
    auto response = framework::HttpResponse();
    (void)waitUntil([&] {
        response = takeTurn(caller, program, turn);
        return response.status == 200;
    });
    return response;
}

/// The host that has most programs in memory: the owner, where there is one program.
inline auto ownerIn(const LocalFleet& fleet) -> std::string
{
    auto owner = std::string();
    for (const auto& host : fleet.hosts()) {
        const auto dump = framework::parseJson(fleet.operatorOf(host).get("/admin/v1/dump").body).value_or(framework::Json::object());
        if (framework::integerAt(dump.value("programs", framework::Json::object()), "programs") > 0) {
            owner = host;
        }
    }
    return owner;
}

/// Any host but `host`.
inline auto otherThan(const LocalFleet& fleet, const std::string& host) -> std::string
{
    const auto names = fleet.hosts();
    return names.front() == host ? names.back() : names.front();
}

} // namespace laburnummill::testing
