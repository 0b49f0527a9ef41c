#include "coordination/internal/leasecodec.h"

#include "coordination/coordinationmessages.pb.h"

namespace laburnummill::coordination {

using framework::Milliseconds;

namespace {

template<class Repeated>
auto addIds(const auto& ids, Repeated* repeated) -> void
{
    for (const auto& id : ids) {
        auto* added = repeated->Add();
        added->set_host(id.host);
        added->set_incarnation(id.incarnation);
    }
}

auto fillMember(const Member& member, messages::Member* message) -> void
{
    message->mutable_id()->set_host(member.id.host);
    message->mutable_id()->set_incarnation(member.id.incarnation);
    message->set_address(member.address.text());
}

auto idOf(const messages::MemberId& message) -> MemberId
{
    return {message.host(), message.incarnation()};
}

auto idsOf(const auto& repeated) -> std::vector<MemberId>
{
    auto ids = std::vector<MemberId>();
    for (const auto& message : repeated) {
        ids.push_back(idOf(message));
    }
    return ids;
}

auto memberOf(const messages::Member& message, const std::string& dataCentre) -> Member
{
    return {idOf(message.id()), dataCentre, framework::Endpoint::parse(message.address())};
}

auto membersOf(const auto& repeated, const std::string& dataCentre) -> std::vector<Member>
{
    auto members = std::vector<Member>();
    for (const auto& message : repeated) {
        members.push_back(memberOf(message, dataCentre));
    }
    return members;
}

auto fill(const RenewRequest& request, messages::LeaseMessage& message) -> void
{
    auto* content = message.mutable_request();
    fillMember(request.from, content->mutable_from());
    content->set_data_centre(request.from.dataCentre);
    content->set_sequence(request.sequence);
    content->set_view(request.view);
    content->set_wants_promise(request.wantsPromise);
    addIds(request.fence, content->mutable_fence());
}

auto fill(const RenewAnswer& answer, messages::LeaseMessage& message) -> void
{
    auto* content = message.mutable_answer();
    content->mutable_from()->set_host(answer.from.host);
    content->mutable_from()->set_incarnation(answer.from.incarnation);
    content->set_sequence(answer.sequence);
    content->set_view(answer.view);
    content->set_promised(answer.promised);
    for (const auto& fence : answer.fences) {
        auto* added = content->add_fences();
        added->set_view(fence.view);
        added->mutable_member()->set_host(fence.member.host);
        added->mutable_member()->set_incarnation(fence.member.incarnation);
    }
    addIds(answer.suspects, content->mutable_suspects());
    addIds(answer.released, content->mutable_released());
    if (answer.confirmedAgo) {
        content->set_confirmed_ago_ms(static_cast<std::uint64_t>(answer.confirmedAgo->count()));
    }
}

auto fill(const ViewPush& pushed, messages::LeaseMessage& message) -> void
{
    auto* content = message.mutable_view();
    content->set_data_centre(pushed.view->dataCentre);
    content->set_number(pushed.view->number);
    for (const auto& member : pushed.view->members) {
        fillMember(member, content->add_members());
    }
    for (const auto& earlier : pushed.view->earlier) {
        auto* added = content->add_earlier();
        added->set_number(earlier.number);
        for (const auto& member : earlier.members) {
            fillMember(member, added->add_members());
        }
        addIds(earlier.released, added->mutable_released());
    }
}

auto fill(const ViewDigest& digest, messages::LeaseMessage& message) -> void
{
    auto* content = message.mutable_digest();
    fillMember(digest.from, content->mutable_from());
    content->set_data_centre(digest.from.dataCentre);
    for (const auto& [dataCentre, number] : digest.numbers) {
        (*content->mutable_numbers())[dataCentre] = number;
    }
}

auto requestOf(const messages::RenewRequest& message) -> RenewRequest
{
    return {memberOf(message.from(), message.data_centre()), message.sequence(), message.view(), message.wants_promise(),
            idsOf(message.fence())};
}

auto answerOf(const messages::RenewAnswer& message) -> RenewAnswer
{
    auto answer = RenewAnswer{idOf(message.from()),      message.sequence(),        message.view(), message.promised(), {},
                              idsOf(message.suspects()), idsOf(message.released()), std::nullopt};
    for (const auto& fence : message.fences()) {
        answer.fences.push_back({fence.view(), idOf(fence.member())});
    }
    if (message.has_confirmed_ago_ms()) {
        answer.confirmedAgo = Milliseconds(static_cast<std::int64_t>(message.confirmed_ago_ms()));
    }
    return answer;
}

auto viewOf(const messages::View& message) -> ViewPush
{
    auto view = View{message.data_centre(), message.number(), membersOf(message.members(), message.data_centre()), {}};
    for (const auto& entry : message.earlier()) {
        const auto released = idsOf(entry.released());
        view.earlier.push_back({entry.number(), membersOf(entry.members(), message.data_centre()), {released.begin(), released.end()}});
    }
    return {std::make_shared<const View>(std::move(view))};
}

} // namespace

auto toWire(const LeaseMessage& message) -> std::string
{
    auto wire = messages::LeaseMessage();
    std::visit([&](const auto& content) { fill(content, wire); }, message);
    return wire.SerializeAsString();
}

auto fromWire(const std::string& bytes) -> std::optional<LeaseMessage>
{
    auto wire = messages::LeaseMessage();
    if (!wire.ParseFromString(bytes)) {
        return std::nullopt;
    }
    switch (wire.content_case()) {
    case messages::LeaseMessage::kRequest:
        return requestOf(wire.request());
    case messages::LeaseMessage::kAnswer:
        return answerOf(wire.answer());
    case messages::LeaseMessage::kView:
        return viewOf(wire.view());
    case messages::LeaseMessage::kDigest:
        return ViewDigest{memberOf(wire.digest().from(), wire.digest().data_centre()),
                          {wire.digest().numbers().begin(), wire.digest().numbers().end()}};
    default:
        return std::nullopt;
    }
}

} // namespace laburnummill::coordination
