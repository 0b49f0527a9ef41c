#include "soakfleet.h"

#include "framework/global/json.h"
#include "framework/global/systemclock.h"
#include "platform/settingsreader.h"

#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include <csignal>
#include <cstdlib>
#include <fstream>

#include <fmt/format.h>
#include <sys/resource.h>
#include <unistd.h>

namespace laburnummill::testing {

namespace {

using framework::Json;

/// Each host has an IP of its own, so that ports may be the same everywhere.
constexpr auto s_peerPort = std::uint16_t{7'001};
constexpr auto s_peerListenPort = std::uint16_t{7'002};
constexpr auto s_callerPort = std::uint16_t{7'003};
constexpr auto s_readyPort = std::uint16_t{7'004};
constexpr auto s_controlPort = std::uint16_t{7'005};
constexpr auto s_firstHost = 11;
constexpr auto s_endedByStopSignal = 128 + SIGTERM;
constexpr auto s_endedByReloadSignal = 128 + SIGHUP;

/// Each engine whose number is a multiple of it ends its answers with their connection.
constexpr auto s_unframedEngineInterval = 2;

/// The process is gone within its grace period; the rest is the busy machine's.
constexpr auto s_stopReserve = std::chrono::seconds(1);

constexpr auto s_probeTimeout = std::chrono::seconds(1);

constexpr auto s_memoryMegabytes = 100;

auto endpoint(const std::string& ip, std::uint16_t port) -> asio::ip::tcp::endpoint
{
    return {asio::ip::make_address(ip), port};
}

auto anyEndpoint() -> asio::ip::tcp::endpoint
{
    return endpoint("127.0.0.1", 0);
}

} // namespace

auto SoakFleet::Script::began(const Request& request) -> void
{
    auto showsKey = false;
    for (const auto& field : request) {
        showsKey = showsKey || field.value().find("-key") != std::string_view::npos;
    }
    m_promises.ran(std::string(request["Request-Id"]), std::string(request["Tenant"]), request.body(), showsKey,
                   framework::SystemClock().now(), m_engine);
}

auto SoakFleet::Script::events(const Request& request) const -> std::vector<std::string>
{
    return m_promises.eventsOf(std::string(request["Request-Id"]));
}

auto SoakFleet::Script::body(const Request& request) const -> std::string
{
    return Promises::bodyOf(std::string(request["Request-Id"]));
}

SoakFleet::Engine::Engine(asio::io_context& context, const Script& engineScript)
    : script(engineScript)
    , standIn(context, &script)
    , path(context, anyEndpoint(), endpoint("127.0.0.1", standIn.port()))
{}

SoakFleet::SoakFleet(asio::io_context& context, const FleetPlan& plan, Promises& promises)
    : m_context(context)
    , m_plan(plan)
    , m_promises(promises)
    , m_store(context)
{
    putConfiguration(true);
    for (auto number = 0; number < plan.engines; ++number) {
        m_engines.push_back(std::make_unique<Engine>(context, Script(promises, number, plan.eventPause)));
        if (number % s_unframedEngineInterval == 0) {
            m_engines.back()->standIn.setFraming(EngineFraming::ConnectionEnd);
        }
        putEngine(number, "ready");
    }
    for (auto host = 0; host < plan.hosts; ++host) {
        auto made = std::make_unique<Host>();
        made->storePath = std::make_unique<ConnectionProxy>(context, anyEndpoint(), m_store.endpoint());
        made->peerPath = std::make_unique<ConnectionProxy>(context, endpoint(ip(host), s_peerPort), endpoint(ip(host), s_peerListenPort));
        const auto isCut = [this, host](const asio::ip::address& from) {
            for (auto other = 0; other < m_plan.hosts; ++other) {
                if (asio::ip::make_address(ip(other)) == from) {
                    return m_cuts.contains({dataCentreOf(other), dataCentreOf(host)});
                }
            }
            return false;
        };
        made->heartbeatPath =
            std::make_unique<DatagramProxy>(context, asio::ip::udp::endpoint(asio::ip::make_address(ip(host)), s_peerPort),
                                            asio::ip::udp::endpoint(asio::ip::make_address(ip(host)), s_peerListenPort), isCut);
        m_hosts.push_back(std::move(made));
    }
    for (auto host = 0; host < plan.hosts; ++host) {
        start(host, true);
    }
}

SoakFleet::~SoakFleet() = default;

auto SoakFleet::ip(int host) const -> std::string
{
    // Runs side by side do not meet: the address holds the number of this process.
    const auto run = ::getpid();
    return fmt::format("127.{}.{}.{}", 64 + run % 100, run / 100 % 250, s_firstHost + host);
}

auto SoakFleet::callerEndpoint(int host) const -> asio::ip::tcp::endpoint
{
    return endpoint(ip(host), s_callerPort);
}

auto SoakFleet::writeSettings(int host, bool isFirstStart) const -> std::string
{
    auto seeds = Json::array();
    for (auto other = 0; other < std::min(m_plan.hosts, 3); ++other) {
        seeds.push_back(fmt::format("{}:{}", ip(other), s_controlPort));
    }
    const auto at = [this, host](std::uint16_t port) { return fmt::format("{}:{}", ip(host), port); };
    const auto settings = Json{{"node_name", fmt::format("host-{}", host)},
                               {"zone", fmt::format("dc-{}", dataCentreOf(host))},
                               {"ip", ip(host)},
                               {"listen", {{"front", at(s_callerPort)}, {"ready", at(s_readyPort)}, {"control", at(s_controlPort)}}},
                               {"port_range", {s_peerPort, s_peerPort + 10}},
                               {"provider", {{"address", m_hosts[static_cast<std::size_t>(host)]->storePath->address()}}},
                               {"limits", {{"memory_mb", s_memoryMegabytes}}},
                               {"bounds", {{"grace_s", m_plan.gracePeriod.count()}}},
                               {"bootstrap", isFirstStart},
                               {"seeds", seeds}};
    auto path = fmt::format("{}/host-{}.json", m_plan.folder, host);
    std::ofstream(path) << settings.dump(1);
    return path;
}

auto SoakFleet::start(int host, bool isFirstStart) -> void
{
    auto& started = *m_hosts[static_cast<std::size_t>(host)];
    const auto settings = writeSettings(host, isFirstStart);
    ::setenv(platform::s_settingsVariable, settings.c_str(), 1);
    started.askedToStopAt.reset();
    started.handledReload = true;
    started.process.emplace(m_plan.program, std::vector<std::string>{"--peer-listen", fmt::format("{}:{}", ip(host), s_peerListenPort)},
                            fmt::format("{}/host-{}.log", m_plan.folder, host));
}

auto SoakFleet::kill(int host) -> void
{
    m_hosts[static_cast<std::size_t>(host)]->process.reset();
    m_promises.stops().stopEnded(host, framework::SystemClock().now());
}

auto SoakFleet::signal(int host, int number) -> void
{
    if (auto& process = m_hosts[static_cast<std::size_t>(host)]->process) {
        process->send(number);
    }
}

auto SoakFleet::reload(int host) -> void
{
    auto& reloaded = *m_hosts[static_cast<std::size_t>(host)];
    reloaded.handledReload = reloaded.handledReload && (!reloaded.process || reloaded.process->handles(SIGHUP));
    signal(host, SIGHUP);
}

auto SoakFleet::askToStop(int host) -> void
{
    auto& asked = *m_hosts[static_cast<std::size_t>(host)];
    asked.handledStop = asked.process && asked.process->handles(SIGTERM);
    signal(host, SIGTERM);
    m_promises.stops().stopBegan(host, framework::SystemClock().now());
    asked.askedToStopAt = std::chrono::steady_clock::now();
}

auto SoakFleet::hasStopped(int host) -> bool
{
    auto& asked = *m_hosts[static_cast<std::size_t>(host)];
    if (!asked.process || !asked.askedToStopAt) {
        return true;
    }
    if (const auto code = asked.process->ended()) {
        // A process that has not yet entered its main function cannot handle a signal, and has accepted nothing.
        if (!asked.handledStop && *code == s_endedByStopSignal) {
            m_promises.stops().endedBeforeMain();
        } else if (*code != 0) {
            m_promises.broken(Promise::StopsClean, fmt::format("host-{} ended with {}", host, *code));
        }
        kill(host);
        return true;
    }
    if (std::chrono::steady_clock::now() < *asked.askedToStopAt + m_plan.gracePeriod + s_stopReserve) {
        return false;
    }
    m_promises.broken(Promise::StopsClean, fmt::format("host-{} still runs after its grace", host));
    kill(host);
    return true;
}

auto SoakFleet::checkRuns(int host) -> void
{
    auto& checked = *m_hosts[static_cast<std::size_t>(host)];
    if (!checked.process || checked.askedToStopAt) {
        return;
    }
    if (const auto code = checked.process->ended()) {
        if (!checked.handledReload && *code == s_endedByReloadSignal) {
            m_promises.stops().endedBeforeMain();
            return kill(host);
        }
        m_promises.broken(Promise::KeepsRunning, fmt::format("host-{} ended by itself with {}", host, *code));
        kill(host);
    } else if (const auto megabytes = checked.process->peakMegabytes(); megabytes > s_memoryMegabytes) {
        m_promises.broken(Promise::KeepsRunning, fmt::format("host-{} took {} MiB of {}", host, megabytes, s_memoryMegabytes));
        kill(host);
    }
}

auto SoakFleet::setDescriptorsUsed(int host, bool isUsed) -> void
{
    const auto& process = m_hosts[static_cast<std::size_t>(host)]->process;
    if (!process) {
        return;
    }
    auto limit = rlimit();
    ::prlimit(process->id(), RLIMIT_NOFILE, nullptr, &limit);
    limit.rlim_cur = isUsed ? 1 : limit.rlim_max;
    ::prlimit(process->id(), RLIMIT_NOFILE, &limit, nullptr);
}

auto SoakFleet::setPortHeld(int host, bool isHeld) -> void
{
    auto& holder = m_hosts[static_cast<std::size_t>(host)]->portHolder;
    holder.reset();
    if (isHeld) {
        auto ignored = boost::system::error_code();
        holder.emplace(m_context, asio::ip::tcp::v4());
        holder->bind(callerEndpoint(host), ignored);
    }
}

auto SoakFleet::cut(int from, int to, bool isCut) -> void
{
    if (isCut) {
        m_cuts.insert({from, to});
    } else {
        m_cuts.erase({from, to});
    }
}

auto SoakFleet::putEngine(int number, const std::string& state) -> void
{
    auto& engine = *m_engines[static_cast<std::size_t>(number)];
    m_store.put("servers", fmt::format("engine-{}", number),
                Json{{"service", "engines"},
                     {"address", engine.path.address()},
                     {"zone", fmt::format("dc-{}", number % m_plan.dataCentres)},
                     {"slots", 8},
                     {"state", state},
                     {"cold_left_ms", 0},
                     {"born", engine.born}}
                    .dump());
}

auto SoakFleet::putConfiguration(bool isSecondKeyValid) -> void
{
    const auto route = [](const char* name, const char* kind) {
        return Json{{"name", name},     {"hostname", "h.example"}, {"prefix", fmt::format("/{}/", name)},
                    {"kind", kind},     {"timeout_ms", 2'000},     {"service", "engines"},
                    {"max_attempts", 2}};
    };
    auto turns = route("turns", "stream");
    turns.update(Json{{"target_latency_ms", 200}, {"retain", true}, {"retention_s", 60}});
    auto drafts = route("drafts", "stream");
    drafts.update(Json{{"target_latency_ms", 200}, {"resumable", true}, {"target_gap_ms", 100}});
    auto keys = Json::array({"small-key"});
    if (isSecondKeyValid) {
        keys.push_back("second-key");
    }
    const auto configuration = Json{
        {"version", ++m_configuration},
        {"routes", {turns, drafts, route("look", "safe"), route("pay", "unsafe")}},
        {"services", {{{"name", "engines"}, {"health_path", "/health"}, {"engine", {{"slots", 8}, {"tokens_per_event", 10}}}}}},
        {"limits", {{"max_header_bytes", 4'000}, {"max_body_bytes", 4'194'304}, {"header_timeout_ms", 2'000}, {"idle_timeout_ms", 5'000}}},
        {"tenants",
         {{{"name", "large"}, {"api_keys", {"large-key"}}, {"rate_per_s", 1'000}, {"burst", 1'000}},
          {{"name", "small"}, {"api_keys", keys}, {"rate_per_s", 8}, {"burst", 8}}}}};
    m_store.put("op", "config", configuration.dump());
}

auto SoakFleet::isReady(int host) -> asio::awaitable<bool>
{
    const auto socket = std::make_shared<asio::ip::tcp::socket>(m_context);
    auto error = boost::system::error_code();
    auto timer = asio::steady_timer(m_context, s_probeTimeout);
    timer.async_wait([socket](const boost::system::error_code& ended) {
        if (!ended) {
            auto ignored = boost::system::error_code();
            socket->close(ignored);
        }
    });
    co_await socket->async_connect(endpoint(ip(host), s_readyPort), asio::redirect_error(asio::use_awaitable, error));
    const auto text = std::string("GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    co_await asio::async_write(*socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    auto head = std::array<char, 12>();
    co_await asio::async_read(*socket, asio::buffer(head), asio::redirect_error(asio::use_awaitable, error));
    co_return !error && std::string_view(head.data(), head.size()) == "HTTP/1.1 200";
}

} // namespace laburnummill::testing
