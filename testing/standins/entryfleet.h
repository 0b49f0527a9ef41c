#pragma once

#include "framework/global/json.h"
#include "platform/httpstore.h"
#include "platform/rowdecoder.h"
#include "platform/wire.h"
#include "serving/entryhost.h"
#include "standins/callerask.h"
#include "standins/enginestandin.h"
#include "standins/serverpathstandin.h"
#include "standins/storestandin.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// Entry hosts on loopback with one store and one engine, all on one executor that tests drive until conditions hold.
class EntryFleet
{
public:
    /// One host for each of `dataCentres`.
    explicit EntryFleet(const std::vector<std::string>& dataCentres, bool offersRollouts = false);
    ~EntryFleet();

    /// Starts one more host and waits until all know each other.
    auto addHost(const std::string& dataCentre) -> void;

    auto store() -> StoreStandIn& { return m_store; }
    auto engine() -> EngineStandIn& { return m_engine; }
    auto context() -> asio::io_context& { return m_context; }
    /// A host's network path to all servers.
    auto serverPath(std::size_t host) -> ServerPathStandIn& { return *m_hosts[host]->serverPath; }
    auto host(std::size_t index) -> serving::EntryHost& { return *m_hosts[index]->host; }

    /// Whether a host cannot reach the store by itself.
    auto setCutOffFromStore(std::size_t host, bool isCutOff) -> void { m_store.setCutOff(m_hosts[host]->storeEndpoint, isCutOff); }

    /// Runs everything until `condition`; false where it did not come true in ten seconds.
    auto until(const std::function<bool()>& condition) -> bool;

    /// Lets things run on for a time.
    auto runFor(framework::Milliseconds time) -> void;

    auto isReady(std::size_t host) -> bool;

    /// Where callers connect to a host.
    auto callerEndpoint(std::size_t host) const -> asio::ip::tcp::endpoint;

    /// Where other hosts connect to a host.
    auto peerEndpoint(std::size_t host) const -> asio::ip::tcp::endpoint;

    /// Sends a request on a connection of its own and waits for its end.
    auto ask(std::size_t host, const Ask& request) -> Got;

    /// Sends a request on a connection of its own; `handler` is called with what came back.
    auto askThen(std::size_t host, const Ask& request, std::function<void(const Got&)> handler) -> void;

    /// Sends bytes as they are; returns all that came back until the connection ended or nothing came for a while.
    auto sendRaw(std::size_t host, const std::string& bytes) -> std::string;

    /// A host's dump of its state.
    auto stateOf(std::size_t host) -> framework::Json;

    /// Sends a request and leaves without waiting for the answer.
    auto askAndLeave(std::size_t host, const Ask& request) -> void;

    /// The operator's configuration: one route of turns, one of turns whose history callers send and whose
    /// streams may be resumed, one of calls that may repeat, one of calls that may not.
    static auto configuration(int version, double rate) -> std::string;

    auto putEngine(const std::string& id, const std::string& address, const std::string& state, const std::string& version = {}) -> void;

private:
    auto startHost(const std::string& dataCentre, bool offersRollouts) -> void;
    auto awaitHosts() -> void;
    auto sendRawTo(const asio::ip::tcp::endpoint& endpoint, const std::string& bytes) -> std::string;

    struct Running
    {
        serving::HostSettings settings;
        asio::ip::tcp::endpoint storeEndpoint;
        std::unique_ptr<framework::Metrics> metrics;
        std::unique_ptr<platform::HttpStore> store;
        std::unique_ptr<ServerPathStandIn> serverPath;
        std::unique_ptr<serving::EntryHost> host;
    };

    asio::io_context m_context;
    StoreStandIn m_store;
    EngineStandIn m_engine;
    platform::RowDecoder m_rows;
    platform::Wire m_wire;
    std::vector<std::unique_ptr<Running>> m_hosts;
};

} // namespace laburnummill::testing
