#include "framework/global/manualclock.h"
#include "gossip/internal/gossipcodec.h"
#include "gossip/internal/gossipservice.h"

#include <boost/asio/system_executor.hpp>

#include <CppUTest/TestHarness.h>

using namespace laburnummill;
using namespace laburnummill::gossip;
using coordination::Member;

namespace {

/// Two hosts in the local data centre and one in another, all alive.
class FixedMembers final : public coordination::IMembership
{
public:
    auto self() const -> const Member& override { return m_localMembers.front(); }
    auto members(std::string_view dataCentre) const -> std::vector<Member> override
    {
        return dataCentre == "dc-1" ? m_localMembers : m_remoteMembers;
    }
    auto dataCentres() const -> std::vector<std::string> override { return {"dc-1", "dc-2"}; }
    auto isAlive(const coordination::MemberId&) const -> bool override { return true; }
    auto onChange(std::function<void()>) -> void override {}
    auto hasJoined() const -> bool override { return true; }

private:
    std::vector<Member> m_localMembers{{{"host-1", 1}, "dc-1", {"host", 1}}, {{"host-2", 1}, "dc-1", {"host", 2}}};
    std::vector<Member> m_remoteMembers{{{"host-3", 1}, "dc-2", {"host", 3}}};
};

/// Drops all messages and fails all requests.
class UnreachablePeers final : public framework::IPeers
{
public:
    auto serve(std::string, framework::PeerRequestHandler) -> void override {}
    auto listenFor(std::string, framework::PeerMessageHandler) -> void override {}
    auto send(const framework::Endpoint&, std::string_view, std::string) -> void override {}
    auto open(const framework::Endpoint&, std::string_view, std::string) -> std::shared_ptr<framework::IPeerExchange> override
    {
        return nullptr;
    }
    auto request(const framework::Endpoint&, std::string_view, std::string, framework::Milliseconds)
        -> framework::AsyncResult<std::string> override
    {
        co_return framework::RpcError::PeerUnreachable;
    }
    auto block(const framework::Endpoint&, bool) -> void override {}
    auto executor() const -> framework::asio::any_io_executor override { return framework::asio::system_executor(); }
};

} // namespace

TEST_GROUP(Confirmation)
{
    GossipService service{{std::make_shared<FixedMembers>(), std::make_shared<UnreachablePeers>(),
                           std::make_shared<framework::ManualClock>(), std::make_shared<framework::Metrics>()},
                          {},
                          1};

    void setup() override
    {
        auto hooks = DocumentHooks();
        hooks.current = [] { return VersionedDocument{2, "body"}; };
        hooks.offer = [](const VersionedDocument&) {};
        service.addDocument("keys", std::move(hooks));
        service.tick();
    }

    auto receiveVersion(const std::string& host, std::uint64_t stamp, std::uint64_t version)->void
    {
        auto message = GossipMessage();
        message.sender = {host, "dc-1", {"host", 2}};
        message.hosts = {{host, stamp, {{"keys", version}}}};
        service.handleMessage(encode(message));
    }

    auto stateOf(std::size_t dataCentre)->std::string
    {
        return std::string(confirmationStateName(service.state("keys", 2, {"dc-1", "dc-2"})[dataCentre].state));
    }
};

TEST(Confirmation, isConfirmedOnceAllLiveHostsOfTheDataCentreHaveTheVersion)
{
    STRCMP_EQUAL("partial", stateOf(0).c_str());
    receiveVersion("host-2", 1, 1);
    STRCMP_EQUAL("partial", stateOf(0).c_str());

    receiveVersion("host-2", 2, 2);

    STRCMP_EQUAL("confirmed", stateOf(0).c_str());
}

TEST(Confirmation, isCutOffUntilAHostOfTheDataCentreReports)
{
    STRCMP_EQUAL("cut-off", stateOf(1).c_str());
    receiveVersion("host-3", 1, 2);
    STRCMP_EQUAL("confirmed", stateOf(1).c_str());
}
