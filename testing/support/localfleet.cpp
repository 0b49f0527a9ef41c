#include "testing/support/localfleet.h"

#include "framework/global/digest.h"

#include <boost/asio/ip/tcp.hpp>

#include <unistd.h>

#include <filesystem>
#include <fstream>

namespace laburnummill::testing {

using framework::Endpoint;
using framework::Json;

namespace {

constexpr auto s_firstPort = 20'000;
constexpr auto s_portsPerProcess = 100;
constexpr auto s_portRanges = 120;
const auto s_buildFolder = std::string(LABURNUMMILL_BUILD_FOLDER);

auto loopback(std::uint16_t port) -> Endpoint
{
    return {"127.0.0.1", port};
}

auto route(const std::string& name, const std::string& pool, const std::string& kind, const std::string& path, bool repeatable) -> Json
{
    return {{"name", name}, {"pool", pool}, {"kind", kind}, {"path", path}, {"repeatable", repeatable}, {"model", "assistant-7b"}};
}

auto firstConfiguration() -> Json
{
    auto configuration = Json::object();
    configuration["dataCentres"] = Json::array();
    configuration["clientAccounts"] = Json::array({{{"name", "brewery"}, {"team", "print"}, {"ratePerSecond", 1'000}, {"burst", 1'000}}});
    configuration["pools"] = Json::array({{{"name", "assistant"}, {"kind", "model"}}, {{"name", "orders"}, {"kind", "plain"}}});
    configuration["backendServers"] = Json::array();
    configuration["routes"] = Json::array({
        route("assistant", "assistant", "model", "/v1/chat/completions", true),
        route("order-records", "orders", "plain", "/records", true),
        route("deposit", "orders", "plain", "/deposits", false),
    });
    return configuration;
}

auto backendServer(const std::string& name, const std::string& pool, const std::string& dataCentre, const Endpoint& address) -> Json
{
    return {{"name", name}, {"pool", pool}, {"dataCentre", dataCentre}, {"address", address.text()}};
}

auto putRow(const TestCaller& platform, const std::string& table, const Json& value) -> bool
{
    const auto change = Json{{"table", table}, {"key", "current"}, {"expected", 0}, {"value", framework::dumpJson(value)}};
    return platform.post("/tables/transact", {{"changes", Json::array({change})}}).status == 200;
}

} // namespace

auto freePort() -> std::uint16_t
{
    //! NOTE Ports that the system hands to outgoing connections may be taken before the daemon listens; these are below them.
    static auto next = s_firstPort + static_cast<int>(::getpid()) % s_portRanges * s_portsPerProcess;
    auto context = framework::asio::io_context();
    while (true) {
        next = next + 1 < s_firstPort + s_portRanges * s_portsPerProcess ? next + 1 : s_firstPort;
        auto acceptor = framework::asio::ip::tcp::acceptor(context, framework::asio::ip::tcp::v4());
        auto error = boost::system::error_code();
        acceptor.bind({framework::asio::ip::make_address("127.0.0.1"), static_cast<std::uint16_t>(next)}, error);
        if (!error) {
            return static_cast<std::uint16_t>(next);
        }
    }
}

LocalFleet::LocalFleet(Shape shape)
    : m_shape(std::move(shape))
    , m_configuration(firstConfiguration())
{
    auto pattern = (std::filesystem::temp_directory_path() / "laburnummill-XXXXXX").string();
    m_folder = ::mkdtemp(pattern.data());
    startFake("platform", "fakeplatform");
    for (const auto& dataCentre : m_shape.dataCentres) {
        m_configuration["dataCentres"].push_back({{"name", dataCentre}, {"region", "test"}});
        for (auto number = std::size_t{1}; number <= m_shape.enginesEach; ++number) {
            const auto name = "engine-" + dataCentre + "-" + std::to_string(number);
            startFake(name, "fakeengine", {std::to_string(m_shape.engineTokenIntervalMs)});
            m_configuration["backendServers"].push_back(backendServer(name, "assistant", dataCentre, m_fakes[name].endpoint));
        }
        for (auto number = std::size_t{1}; number <= m_shape.servicesEach; ++number) {
            const auto name = "service-" + dataCentre + "-" + std::to_string(number);
            startFake(name, "fakeservice");
            m_configuration["backendServers"].push_back(backendServer(name, "orders", dataCentre, m_fakes[name].endpoint));
        }
    }
    addDaemons();
}

LocalFleet::~LocalFleet()
{
    m_daemons.clear();
    m_fakes.clear();
    auto ignored = std::error_code();
    std::filesystem::remove_all(m_folder, ignored);
}

auto LocalFleet::startFake(const std::string& name, const std::string& program, std::vector<std::string> arguments) -> void
{
    auto& fake = m_fakes[name];
    fake.endpoint = loopback(freePort());
    arguments.insert(arguments.begin(), fake.endpoint.text());
    fake.process = std::make_unique<ChildProcess>(s_buildFolder + "/testing/fakes/" + program, arguments, m_folder + "/" + name + ".log");
}

auto LocalFleet::addDaemons() -> void
{
    auto seeds = Json::array();
    for (const auto& dataCentre : m_shape.dataCentres) {
        for (auto number = std::size_t{1}; number <= m_shape.daemonsEach; ++number) {
            const auto host = "entry-" + dataCentre + "-" + std::to_string(number);
            const auto peer = loopback(freePort()).text();
            seeds.push_back(peer);
            auto& settings = m_daemons[host].settings;
            settings["host"] = host;
            settings["dataCentre"] = dataCentre;
            settings["region"] = "test";
            settings["callers"] = {{"listen", loopback(freePort()).text()}};
            settings["operators"] = {{"listen", loopback(freePort()).text()}, {"firstKeySha256", framework::sha256Hex(s_operatorKey)}};
            settings["peers"] = {{"listen", peer}};
            settings["platform"] = {{"endpoint", m_fakes["platform"].endpoint.text()}};
        }
    }
    for (auto& [host, daemon] : m_daemons) {
        daemon.settings["peers"]["seeds"] = seeds;
    }
}

auto LocalFleet::writePlatform() const -> bool
{
    const auto platform = fake("platform");
    if (!waitUntil([&] { return platform.get("/counts").status == 200; })) {
        return false;
    }
    auto configuration = m_configuration;
    configuration["version"] = 1;
    const auto key = Json{{"keyHash", framework::sha256Hex(s_callerKey)}, {"account", "brewery"}, {"version", 1}, {"withdrawn", false}};
    const auto keys = Json{{"version", 1}, {"keys", Json::array({key})}};
    return putRow(platform, "configuration", configuration) && putRow(platform, "keys", keys);
}

auto LocalFleet::startAll() -> bool
{
    if (!writePlatform()) {
        return false;
    }
    for (const auto& host : hosts()) {
        start(host);
    }
    return waitUntil([this] {
        const auto names = hosts();
        return std::ranges::all_of(names, [this](const auto& host) { return isReady(host); });
    });
}

auto LocalFleet::hosts() const -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    for (const auto& [host, daemon] : m_daemons) {
        names.push_back(host);
    }
    return names;
}

auto LocalFleet::start(const std::string& host) -> void
{
    auto& daemon = m_daemons.at(host);
    const auto path = m_folder + "/" + host + ".json";
    std::ofstream(path) << daemon.settings.dump(2);
    daemon.process = std::make_unique<ChildProcess>(s_buildFolder + "/src/apps/laburnummilld", std::vector<std::string>{"--settings", path},
                                                    m_folder + "/" + host + ".log");
}

auto LocalFleet::isReady(const std::string& host) const -> bool
{
    return caller(host).get("/readyz").status == 200;
}

auto LocalFleet::daemon(const std::string& host) -> ChildProcess&
{
    return *m_daemons.at(host).process;
}

auto LocalFleet::caller(const std::string& host, const std::string& key) const -> TestCaller
{
    const auto& settings = m_daemons.at(host).settings;
    return {Endpoint::parse(framework::stringAt(settings["callers"], "listen")), key};
}

auto LocalFleet::operatorOf(const std::string& host) const -> TestCaller
{
    const auto& settings = m_daemons.at(host).settings;
    return {Endpoint::parse(framework::stringAt(settings["operators"], "listen")), s_operatorKey};
}

auto LocalFleet::fake(const std::string& name) const -> TestCaller
{
    return {m_fakes.at(name).endpoint, {}};
}

auto LocalFleet::fakeProcess(const std::string& name) -> ChildProcess&
{
    return *m_fakes.at(name).process;
}

auto LocalFleet::setFaults(const std::string& fakeName, const Json& faults) const -> void
{
    fake(fakeName).put("/faults", faults);
}

} // namespace laburnummill::testing
