#include "coordination/internal/view.h"

#include "coordination/internal/protocolrules.h"
#include "coordination/rendezvous.h"

#include <algorithm>

namespace laburnummill::coordination {

using framework::Json;

namespace {

constexpr auto s_maxWitnesses = std::size_t{7};

auto membersToJson(const std::vector<Member>& members) -> Json
{
    auto array = Json::array();
    for (const auto& member : members) {
        array.push_back({{"host", member.id.host}, {"incarnation", member.id.incarnation}, {"address", member.address.text()}});
    }
    return array;
}

auto membersFromJson(const Json& array, const std::string& dataCentre) -> std::vector<Member>
{
    auto members = std::vector<Member>();
    for (const auto& entry : array) {
        const auto incarnation = static_cast<std::uint64_t>(framework::integerAt(entry, "incarnation"));
        const auto address = framework::Endpoint::parse(framework::stringAt(entry, "address"));
        members.push_back({{framework::stringAt(entry, "host"), incarnation}, dataCentre, address});
    }
    return members;
}

auto arrayAt(const Json& document, const char* key) -> Json
{
    const auto found = document.find(key);
    return found != document.end() && found->is_array() ? *found : Json::array();
}

} // namespace

auto View::contains(const MemberId& member) const -> bool
{
    return containsMember(members, member);
}

auto witnessesOf(std::uint64_t viewNumber, const std::vector<Member>& members) -> std::vector<Member>
{
    auto ranked = rankByRendezvous({ShardKind::Pool, "witnesses/" + std::to_string(viewNumber), {}}, members);
    if (ranked.size() > s_maxWitnesses) {
        ranked.resize(s_maxWitnesses);
    }
    return ranked;
}

auto quorumsOf(std::size_t witnesses, const ProtocolRules& rules) -> Quorums
{
    const auto promise = witnesses / 2 + 1;
    const auto acknowledge = witnesses - promise + 1;
    return {promise - (rules.fullPromiseQuorum ? 0 : 1), acknowledge - (rules.fullAcknowledgeQuorum ? 0 : 1)};
}

auto containsMember(const std::vector<Member>& members, const MemberId& member) -> bool
{
    return std::ranges::any_of(members, [&](const auto& entry) { return entry.id == member; });
}

auto hasOtherIncarnation(const std::vector<Member>& members, const MemberId& member) -> bool
{
    return std::ranges::any_of(
        members, [&](const auto& entry) { return entry.id.host == member.host && entry.id.incarnation != member.incarnation; });
}

auto toJson(const View& view) -> Json
{
    auto earlier = Json::array();
    for (const auto& entry : view.earlier) {
        auto released = Json::array();
        for (const auto& member : entry.released) {
            released.push_back({{"host", member.host}, {"incarnation", member.incarnation}});
        }
        earlier.push_back({{"number", entry.number}, {"members", membersToJson(entry.members)}, {"released", std::move(released)}});
    }
    return {{"dataCentre", view.dataCentre},
            {"number", view.number},
            {"members", membersToJson(view.members)},
            {"earlier", std::move(earlier)}};
}

auto viewFromJson(const Json& document) -> std::optional<View>
{
    if (!document.is_object()) {
        return std::nullopt;
    }
    auto view =
        View{framework::stringAt(document, "dataCentre"), static_cast<std::uint64_t>(framework::integerAt(document, "number")), {}, {}};
    if (view.dataCentre.empty() || view.number == 0) {
        return std::nullopt;
    }
    view.members = membersFromJson(arrayAt(document, "members"), view.dataCentre);
    for (const auto& entry : arrayAt(document, "earlier")) {
        auto earlier = EarlierView{static_cast<std::uint64_t>(framework::integerAt(entry, "number")),
                                   membersFromJson(arrayAt(entry, "members"), view.dataCentre),
                                   {}};
        for (const auto& member : membersFromJson(arrayAt(entry, "released"), view.dataCentre)) {
            earlier.released.insert(member.id);
        }
        view.earlier.push_back(std::move(earlier));
    }
    return view;
}

} // namespace laburnummill::coordination
