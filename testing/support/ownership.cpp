#include "testing/support/ownership.h"

#include "coordination/rendezvous.h"
#include "framework/global/digest.h"

namespace laburnummill::testing {

using framework::Json;

auto coordinationDump(const LocalFleet& fleet, const std::string& host) -> Json
{
    const auto dump = framework::parseJson(fleet.operatorOf(host).get("/admin/v1/dump").body).value_or(Json::object());
    return dump.value("coordination", Json::object());
}

auto haveView(const LocalFleet& fleet, const std::vector<std::string>& hosts, const std::string& dataCentre, std::size_t members) -> bool
{
    const auto path = Json::json_pointer("/views/" + dataCentre + "/members");
    return std::ranges::all_of(hosts, [&](const auto& host) {
        const auto dump = coordinationDump(fleet, host);
        return dump.contains(path) && dump.at(path).size() == members && framework::boolAt(dump, "earlierViewsSettled") &&
               framework::integerAt(dump, "leaseRemainingMs") > 0;
    });
}

namespace {

constexpr auto s_limitGroups = std::uint64_t{16};
constexpr auto s_account = "brewery";

auto firstOf(const std::vector<std::string>& hosts, const coordination::ShardKey& shard) -> std::string
{
    auto members = std::vector<coordination::Member>();
    for (const auto& host : hosts) {
        members.push_back({{host, 1}, {}, {}});
    }
    return rankByRendezvous(shard, members).front().id.host;
}

} // namespace

auto firstInRank(const std::vector<std::string>& hosts, const std::string& program) -> std::string
{
    return firstOf(hosts, {coordination::ShardKind::Program, program, {}});
}

auto limitsOwner(const std::vector<std::string>& hosts) -> std::string
{
    const auto group = framework::hash64(s_account) % s_limitGroups;
    return firstOf(hosts, {coordination::ShardKind::ClientAccount, "limits-" + std::to_string(group), {}});
}

auto startProgram(const LocalFleet& fleet, const std::string& host) -> std::string
{
    const auto response = fleet.caller(host).post("/v1/programs");
    return framework::stringAt(framework::parseJson(response.body).value_or(Json::object()), "program");
}

auto callModel(const LocalFleet& fleet, const std::string& host, const std::string& program, int turn, const std::string& text) -> unsigned
{
    const auto message = Json{{"role", "user"}, {"content", text}};
    const auto body =
        Json{{"call", text}, {"turn", turn}, {"route", "assistant"}, {"stream", true}, {"body", {{"messages", Json::array({message})}}}};
    const auto response = fleet.caller(host).post("/v1/programs/" + program + "/calls", body);
    return response.body.ends_with("data: [DONE]\n\n") ? response.status : (response.status == 200 ? 0U : response.status);
}

auto without(std::vector<std::string> hosts, const std::string& host) -> std::vector<std::string>
{
    std::erase(hosts, host);
    return hosts;
}

} // namespace laburnummill::testing
