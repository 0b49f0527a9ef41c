#include "standins/entryfleet.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>

namespace laburnummill::testing {

namespace {

using framework::Milliseconds;

constexpr auto s_patience = std::chrono::seconds(10);
constexpr auto s_step = std::chrono::milliseconds(20);

/// Addresses of a data centre's host: each has an IP of its own, so that ports do not meet.
auto freeAddress(asio::io_context& context, std::size_t host) -> std::string
{
    static auto given = std::set<std::string>();
    const auto ip = fmt::format("127.0.0.{}", 11 + host);
    while (true) {
        // The system may name a port again as soon as its probe is closed.
        auto probe = asio::ip::tcp::acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address(ip), 0));
        auto address = fmt::format("{}:{}", ip, probe.local_endpoint().port());
        if (given.insert(address).second) {
            return address;
        }
    }
}

} // namespace

EntryFleet::EntryFleet(const std::vector<std::string>& dataCentres, bool offersRollouts)
    : m_store(m_context)
    , m_engine(m_context)
{
    m_store.put("op", "config", configuration(1, 1'000));
    putEngine("engine-1", m_engine.address(), "ready");
    for (const auto& dataCentre : dataCentres) {
        startHost(dataCentre, offersRollouts);
    }
    awaitHosts();
}

auto EntryFleet::addHost(const std::string& dataCentre) -> void
{
    startHost(dataCentre, m_hosts.front()->settings.offersRollouts);
    awaitHosts();
}

auto EntryFleet::startHost(const std::string& dataCentre, bool offersRollouts) -> void
{
    const auto index = m_hosts.size();
    auto running = std::make_unique<Running>();
    running->storeEndpoint = m_store.addEndpoint();
    auto& settings = running->settings;
    settings.host = fmt::format("host-{}", index);
    settings.dataCentre = dataCentre;
    settings.callerAddress = freeAddress(m_context, index);
    settings.readyAddress = freeAddress(m_context, index);
    settings.metricsAddress = freeAddress(m_context, index);
    settings.peerAddress = freeAddress(m_context, index);
    settings.storeAddress = fmt::format("127.0.0.1:{}", running->storeEndpoint.port());
    settings.isFirstStart = true;
    settings.offersRollouts = offersRollouts;
    settings.memoryBytes = 100 * 1024 * 1024;
    settings.stopGrace = Milliseconds(6'000);
    running->metrics = std::make_unique<framework::Metrics>();
    running->store = std::make_unique<platform::HttpStore>(m_context.get_executor(), running->storeEndpoint, *running->metrics);
    running->serverPath = std::make_unique<ServerPathStandIn>(m_context);
    running->host = std::make_unique<serving::EntryHost>(
        m_context, settings, *running->metrics,
        serving::ExternalInterfaces{
            .store = *running->store, .feed = *running->store, .rows = m_rows, .wire = m_wire, .dialer = running->serverPath.get()});
    running->host->start();
    m_hosts.push_back(std::move(running));
}

auto EntryFleet::awaitHosts() -> void
{
    until([this] {
        return std::ranges::all_of(m_hosts, [this](const auto& running) {
            return running->host->isReady() && running->host->reachableHostCount() >= static_cast<int>(m_hosts.size());
        });
    });
}

EntryFleet::~EntryFleet()
{
    m_context.stop();
}

auto EntryFleet::configuration(int version, double rate) -> std::string
{
    return fmt::format(R"({{"version":{},"routes":[
        {{"name":"turns","hostname":"h.example","prefix":"/turns/","kind":"stream","timeout_ms":2000,"target_latency_ms":200,
          "service":"engines","max_attempts":2,"retain":true,"retention_s":60}},
        {{"name":"drafts","hostname":"h.example","prefix":"/drafts/","kind":"stream","timeout_ms":3000,"target_latency_ms":200,
          "service":"engines","max_attempts":2,"resumable":true,"target_gap_ms":100}},
        {{"name":"look","hostname":"h.example","prefix":"/look/","kind":"safe","timeout_ms":1000,"service":"engines","max_attempts":2}},
        {{"name":"pay","hostname":"h.example","prefix":"/pay/","kind":"unsafe","timeout_ms":1000,"service":"engines","max_attempts":2}}],
        "services":[{{"name":"engines","health_path":"/health","engine":{{"slots":4,"tokens_per_event":10}}}}],
        "limits":{{"max_header_bytes":2000,"max_body_bytes":5000,"header_timeout_ms":300,"idle_timeout_ms":5000}},
        "tenants":[{{"name":"pub","api_keys":["good-key"],"rate_per_s":{},"burst":{}}},
                   {{"name":"brewery","api_keys":["other-key"]}}]}})",
                       version, rate, rate);
}

auto EntryFleet::putEngine(const std::string& id, const std::string& address, const std::string& state, const std::string& version) -> void
{
    m_store.put(
        "servers", id,
        fmt::format(R"({{"service":"engines","address":"{}","zone":"a","slots":4,"state":"{}","cold_left_ms":0,"born":1,"version":"{}"}})",
                    address, state, version));
}

auto EntryFleet::until(const std::function<bool()>& condition) -> bool
{
    const auto deadline = std::chrono::steady_clock::now() + s_patience;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline) {
            return false;
        }
        m_context.run_one_for(s_step);
    }
    return true;
}

auto EntryFleet::runFor(Milliseconds time) -> void
{
    m_context.run_for(time);
}

auto EntryFleet::isReady(std::size_t host) -> bool
{
    return m_hosts[host]->host->isReady();
}

auto EntryFleet::callerEndpoint(std::size_t host) const -> asio::ip::tcp::endpoint
{
    return peers::parseEndpoint(m_hosts[host]->settings.callerAddress).value();
}

auto EntryFleet::peerEndpoint(std::size_t host) const -> asio::ip::tcp::endpoint
{
    return peers::parseEndpoint(m_hosts[host]->settings.peerAddress).value();
}

auto EntryFleet::ask(std::size_t host, const Ask& request) -> Got
{
    auto got = std::make_shared<std::optional<Got>>();
    askThen(host, request, [got](const Got& answer) { *got = answer; });
    until([got] { return got->has_value(); });
    return got->value_or(Got());
}

auto EntryFleet::askThen(std::size_t host, const Ask& request, std::function<void(const Got&)> handler) -> void
{
    asio::co_spawn(
        m_context,
        [this, host, text = requestText(request), handler = std::move(handler)]() -> asio::awaitable<void> {
            handler(co_await exchange(callerEndpoint(host), text));
        },
        asio::detached);
}

auto EntryFleet::sendRaw(std::size_t host, const std::string& bytes) -> std::string
{
    return sendRawTo(callerEndpoint(host), bytes);
}

auto EntryFleet::stateOf(std::size_t host) -> framework::Json
{
    const auto endpoint = peers::parseEndpoint(*m_hosts[host]->settings.metricsAddress).value();
    const auto answer = sendRawTo(endpoint, "GET /dump HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    const auto bodyAt = answer.find("\r\n\r\n");
    return bodyAt == std::string::npos ? framework::Json() : framework::parseJson(answer.substr(bodyAt + 4)).value_or(framework::Json());
}

auto EntryFleet::sendRawTo(const asio::ip::tcp::endpoint& endpoint, const std::string& bytes) -> std::string
{
    auto answer = std::make_shared<std::string>();
    auto isDone = std::make_shared<bool>(false);
    asio::co_spawn(
        m_context,
        [this, endpoint, bytes, answer, isDone]() -> asio::awaitable<void> {
            auto socket = asio::ip::tcp::socket(m_context);
            auto error = boost::system::error_code();
            co_await socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, error));
            co_await asio::async_write(socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, error));
            auto piece = std::array<char, 4'096>();
            while (!error) {
                const auto size = co_await socket.async_read_some(asio::buffer(piece), asio::redirect_error(asio::use_awaitable, error));
                answer->append(piece.data(), size);
            }
            *isDone = true;
        },
        asio::detached);
    until([isDone] { return *isDone; });
    return *answer;
}

auto EntryFleet::askAndLeave(std::size_t host, const Ask& request) -> void
{
    asio::co_spawn(
        m_context,
        [this, host, text = requestText(request)]() -> asio::awaitable<void> {
            auto socket = asio::ip::tcp::socket(m_context);
            auto error = boost::system::error_code();
            co_await socket.async_connect(callerEndpoint(host), asio::redirect_error(asio::use_awaitable, error));
            co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
            auto pause = asio::steady_timer(m_context, Milliseconds(100));
            co_await pause.async_wait(asio::use_awaitable);
        },
        asio::detached);
}

} // namespace laburnummill::testing
