#pragma once

#include "faultproxy.h"
#include "promises.h"
#include "standins/enginestandin.h"
#include "standins/storestandin.h"
#include "support/childprocess.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// What a run starts.
struct FleetPlan
{
    std::string program; ///< path of the entry host's program
    std::string folder;  ///< of settings and logs
    int hosts = 6;
    int dataCentres = 2;
    int engines = 4;
    std::chrono::seconds gracePeriod{4};     ///< hosts have to stop
    std::chrono::milliseconds eventPause{8}; ///< of backend servers, before each event and each plain answer
};

/// The real program as a process a host, with stand-ins of the store and of backend servers behind proxies. All proxies
/// and stand-ins live here.
class SoakFleet
{
public:
    SoakFleet(asio::io_context& context, const FleetPlan& plan, Promises& promises);
    ~SoakFleet();

    auto hosts() const -> int { return static_cast<int>(m_hosts.size()); }
    auto dataCentres() const -> int { return m_plan.dataCentres; }
    auto engines() const -> int { return static_cast<int>(m_engines.size()); }
    auto store() -> StoreStandIn& { return m_store; }
    auto engine(int number) -> EngineStandIn& { return m_engines[static_cast<std::size_t>(number)]->standIn; }
    auto enginePath(int number) -> ConnectionProxy& { return m_engines[static_cast<std::size_t>(number)]->path; }
    auto storePath(int host) -> ConnectionProxy& { return *m_hosts[static_cast<std::size_t>(host)]->storePath; }
    auto peerPath(int host) -> ConnectionProxy& { return *m_hosts[static_cast<std::size_t>(host)]->peerPath; }

    auto callerEndpoint(int host) const -> asio::ip::tcp::endpoint;
    auto dataCentreOf(int host) const -> int { return host % m_plan.dataCentres; }

    auto start(int host, bool isFirstStart) -> void;
    auto kill(int host) -> void;
    auto signal(int host, int number) -> void;

    /// Tells a host that its settings changed.
    auto reload(int host) -> void;

    /// Asks a host to stop; it is watched by checkStopped().
    auto askToStop(int host) -> void;

    /// Whether a host that was asked to stop has ended; tells `promises` where it ended otherwise than it should.
    auto hasStopped(int host) -> bool;

    /// Whether a host's process handled the signal that asks it to stop when it was last sent.
    auto handledStop(int host) const -> bool { return m_hosts[static_cast<std::size_t>(host)]->handledStop; }

    auto isRunning(int host) -> bool { return m_hosts[static_cast<std::size_t>(host)]->process.has_value(); }

    /// Whether the process of a host that nobody asked to stop runs within its memory; tells `promises` otherwise.
    auto checkRuns(int host) -> void;

    /// Whether a host can open sockets and files.
    auto setDescriptorsUsed(int host, bool isUsed) -> void;

    /// Whether another process holds the port at which a host accepts callers.
    auto setPortHeld(int host, bool isHeld) -> void;

    /// Heartbeats from one data centre to another are dropped from now on, or no more.
    auto cut(int from, int to, bool isCut) -> void;

    auto putEngine(int number, const std::string& state) -> void;
    auto putConfiguration(bool isSecondKeyValid) -> void;

    /// Whether a host takes callers; without an answer for a second it does not.
    auto isReady(int host) -> asio::awaitable<bool>;

private:
    class Script final : public IEngineScript
    {
    public:
        Script(Promises& promises, int engine, std::chrono::milliseconds pause)
            : m_promises(promises)
            , m_engine(engine)
            , m_pause(pause)
        {}

        auto began(const Request& request) -> void override;
        auto events(const Request& request) const -> std::vector<std::string> override;
        auto pause() const -> std::chrono::milliseconds override { return m_pause; }
        auto body(const Request& request) const -> std::string override;

    private:
        Promises& m_promises;
        int m_engine;
        std::chrono::milliseconds m_pause;
    };

    struct Host
    {
        std::optional<ChildProcess> process;
        std::unique_ptr<ConnectionProxy> storePath;
        std::unique_ptr<ConnectionProxy> peerPath;
        std::unique_ptr<DatagramProxy> heartbeatPath;
        std::optional<asio::ip::tcp::socket> portHolder;
        std::optional<std::chrono::steady_clock::time_point> askedToStopAt;
        bool handledReload = true; ///< the process handled that signal each time when it was sent
        bool handledStop = true;   ///< the process had begun to handle the signal when it was asked to stop
    };

    struct Engine
    {
        Engine(asio::io_context& context, const Script& script);

        Script script;
        EngineStandIn standIn;
        ConnectionProxy path;
        int born = 1;
    };

    auto ip(int host) const -> std::string;
    auto writeSettings(int host, bool isFirstStart) const -> std::string;

    asio::io_context& m_context;
    FleetPlan m_plan;
    Promises& m_promises;
    StoreStandIn m_store;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::vector<std::unique_ptr<Engine>> m_engines;
    std::set<std::pair<int, int>> m_cuts;
    int m_configuration = 0;
};

} // namespace laburnummill::testing
