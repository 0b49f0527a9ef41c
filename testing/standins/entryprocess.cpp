#include "standins/entryprocess.h"

#include "framework/global/json.h"
#include "platform/settingsreader.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <sys/resource.h>
#include <unistd.h>

namespace laburnummill::testing {

namespace {

constexpr auto s_step = std::chrono::milliseconds(20);
constexpr auto s_millisecondsPerSecond = 1'000;
constexpr auto s_firstTimeField = 11; ///< of /proc/ID/stat behind the name: user and system time

/// The limit on descriptors that processes started meanwhile inherit.
class DescriptorLimit
{
public:
    explicit DescriptorLimit(std::optional<unsigned> limit)
    {
        ::getrlimit(RLIMIT_NOFILE, &m_former);
        if (limit) {
            auto lowered = m_former;
            lowered.rlim_cur = *limit;
            ::setrlimit(RLIMIT_NOFILE, &lowered);
        }
    }
    DescriptorLimit(const DescriptorLimit&) = delete;
    auto operator=(const DescriptorLimit&) -> DescriptorLimit& = delete;
    ~DescriptorLimit() { ::setrlimit(RLIMIT_NOFILE, &m_former); }

private:
    rlimit m_former{};
};

/// No other process or test has used its ports: not even closed connections hold them.
auto unusedIp() -> std::string
{
    static auto number = 4;
    return fmt::format("127.{}.{}.{}", 64 + ::getpid() % 100, ::getpid() / 100 % 250, ++number);
}

auto readFile(const std::string& path) -> std::string
{
    auto text = std::ostringstream();
    text << std::ifstream(path).rdbuf();
    return text.str();
}

constexpr auto s_configuration = R"({"version":1,"routes":[
    {"name":"turns","hostname":"h.example","prefix":"/turns/","kind":"stream","timeout_ms":2000,"target_latency_ms":200,
     "service":"engines","max_attempts":2,"retain":true,"retention_s":60},
    {"name":"look","hostname":"h.example","prefix":"/look/","kind":"safe","timeout_ms":2000,"service":"engines","max_attempts":2},
    {"name":"pay","hostname":"h.example","prefix":"/pay/","kind":"unsafe","timeout_ms":2000,"service":"engines","max_attempts":2}],
    "services":[{"name":"engines","health_path":"/health","engine":{"slots":4,"tokens_per_event":10}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":5000,"idle_timeout_ms":8000},
    "tenants":[{"name":"pub","api_keys":["good-key"],"rate_per_s":1000,"burst":1000},
               {"name":"brewery","api_keys":["other-key"]}]})";

} // namespace

EntryProcess::EntryProcess(std::string program, std::string folder, ProcessLimits limits, bool isStarted)
    : m_program(std::move(program))
    , m_folder(std::move(folder))
    , m_limits(limits)
    , m_ip(unusedIp())
    , m_store(m_context)
    , m_engine(m_context)
{
    std::filesystem::create_directories(m_folder);
    std::filesystem::remove(m_folder + "/log");
    m_store.put("op", "config", s_configuration);
    m_store.put("servers", "engine-1",
                fmt::format(R"({{"service":"engines","address":"{}","zone":"a","slots":4,"state":"ready","cold_left_ms":0,"born":1}})",
                            m_engine.address()));
    const auto at = [this](std::uint16_t port) { return fmt::format("{}:{}", m_ip, port); };
    m_settings = framework::Json{{"node_name", "host-0"},
                                 {"zone", "a"},
                                 {"ip", m_ip},
                                 {"listen", {{"front", at(s_callerPort)}, {"ready", at(s_readyPort)}, {"control", at(s_controlPort)}}},
                                 {"port_range", {s_firstPeerPort, s_lastPeerPort}},
                                 {"provider", {{"address", fmt::format("127.0.0.1:{}", m_store.endpoint().port())}}},
                                 {"limits", {{"memory_mb", m_limits.memoryMegabytes}, {"max_fds", m_limits.descriptors}}},
                                 {"bounds", {{"grace_s", 3}}},
                                 {"bootstrap", true},
                                 {"seeds", framework::Json::array()}}
                     .dump();
    if (isStarted) {
        start();
    }
}

auto EntryProcess::setSetting(const std::string& pointer, const std::string& json) -> void
{
    auto settings = framework::Json::parse(m_settings);
    settings[framework::Json::json_pointer(pointer)] = framework::Json::parse(json);
    m_settings = settings.dump();
}

auto EntryProcess::start() -> void
{
    const auto path = m_folder + "/settings.json";
    std::ofstream(path) << m_settings;
    ::setenv(platform::s_settingsVariable, path.c_str(), 1);
    const auto limit = DescriptorLimit(m_limits.systemDescriptors);
    m_process.emplace(m_program, std::vector<std::string>(), m_folder + "/log");
}

auto EntryProcess::endpoint(std::uint16_t port) const -> asio::ip::tcp::endpoint
{
    return {asio::ip::make_address(m_ip), port};
}

auto EntryProcess::until(const std::function<bool()>& condition, std::chrono::milliseconds patience) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        m_context.run_one_for(s_step);
    }
    return true;
}

auto EntryProcess::exchangeWith(const asio::ip::tcp::endpoint& endpoint, const std::string& text) -> Got
{
    const auto got = std::make_shared<std::optional<Got>>();
    asio::co_spawn(
        m_context, [got, endpoint, text]() -> asio::awaitable<void> { *got = co_await exchange(endpoint, text); }, asio::detached);
    until([got] { return got->has_value(); });
    return got->value_or(Got());
}

auto EntryProcess::readiness() -> unsigned
{
    return exchangeWith(readyEndpoint(), "GET /api/ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n").status;
}

auto EntryProcess::awaitReady() -> bool
{
    return until([this] {
        runFor(s_step);
        return isReady();
    });
}

auto EntryProcess::ask(const Ask& request) -> Got
{
    return exchangeWith(callerEndpoint(), requestText(request));
}

auto EntryProcess::sendWithoutEnd(std::string start, std::string block, std::size_t limit) -> std::size_t
{
    const auto sent = std::make_shared<std::size_t>(0);
    const auto isDone = std::make_shared<bool>(false);
    asio::co_spawn(
        m_context,
        [to = callerEndpoint(), start, block, limit, sent, isDone]() -> asio::awaitable<void> {
            auto socket = asio::ip::tcp::socket(co_await asio::this_coro::executor);
            auto error = boost::system::error_code();
            co_await socket.async_connect(to, asio::redirect_error(asio::use_awaitable, error));
            co_await asio::async_write(socket, asio::buffer(start), asio::redirect_error(asio::use_awaitable, error));
            while (!error && *sent < limit) {
                *sent += co_await asio::async_write(socket, asio::buffer(block), asio::redirect_error(asio::use_awaitable, error));
            }
            *isDone = true;
        },
        asio::detached);
    until([isDone] { return *isDone; });
    return *sent;
}

auto EntryProcess::exitCode(std::chrono::milliseconds patience) -> std::optional<int>
{
    auto code = std::optional<int>();
    until(
        [this, &code] {
            code = m_process->ended();
            return code.has_value();
        },
        patience);
    return code;
}

auto EntryProcess::processorTime() const -> std::chrono::milliseconds
{
    const auto stat = readFile(fmt::format("/proc/{}/stat", m_process->id()));
    auto fields = std::istringstream(stat.substr(stat.rfind(')') + 1));
    auto skipped = std::string();
    for (auto field = 0; field < s_firstTimeField; ++field) {
        fields >> skipped;
    }
    auto user = 0L;
    auto system = 0L;
    fields >> user >> system;
    return std::chrono::milliseconds((user + system) * s_millisecondsPerSecond / ::sysconf(_SC_CLK_TCK));
}

auto EntryProcess::log() const -> std::string
{
    return readFile(m_folder + "/log");
}

} // namespace laburnummill::testing
