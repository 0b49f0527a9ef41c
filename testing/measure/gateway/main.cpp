#include "testing/measure/gateway/loadclient.h"
#include "testing/measure/gateway/processfigures.h"
#include "testing/support/localfleet.h"
#include "testing/support/runoptions.h"

#include <sys/resource.h>

#include <iostream>

namespace {

using laburnummill::framework::Endpoint;
using laburnummill::framework::HttpRequest;
using laburnummill::framework::Json;
using namespace laburnummill::testing;

constexpr auto s_host = "entry-dc-1-1";
constexpr auto s_engine = "engine-dc-1-1";
constexpr auto s_requestsEach = std::size_t{2'000};
constexpr auto s_warmUp = std::size_t{500};
constexpr auto s_kilobytesPerMegabyte = 1024.0;

auto chatRequest(bool stream, int tokens) -> HttpRequest
{
    const auto message = Json{{"role", "user"}, {"content", "500 beer mats"}};
    const auto body = Json{{"model", "assistant"}, {"stream", stream}, {"max_tokens", tokens}, {"messages", Json::array({message})}};
    auto request = HttpRequest{"POST", "/v1/chat/completions", {}, {}, body.dump()};
    request.headers["Content-Type"] = "application/json";
    request.headers["Authorization"] = std::string("Bearer ") + s_callerKey;
    request.headers["X-Request-Id"] = "direct";
    request.headers["X-Timeout-Ms"] = "600000";
    return request;
}

/// One daemon, one engine; nothing else holds calls back.
auto prepare(LocalFleet& fleet) -> bool
{
    auto& configuration = fleet.configuration();
    configuration["clientAccounts"][0]["ratePerSecond"] = 1'000'000;
    configuration["clientAccounts"][0]["burst"] = 1'000'000;
    for (auto& server : configuration["backendServers"]) {
        server["concurrency"] = 100'000;
        server["coldConcurrency"] = 100'000;
    }
    fleet.settings(s_host)["callers"]["maxConnections"] = 20'000;
    return fleet.startAll();
}

auto callersOf(LocalFleet& fleet) -> Endpoint
{
    return Endpoint::parse(fleet.settings(s_host)["callers"]["listen"].get<std::string>());
}

auto engineOf(LocalFleet& fleet) -> Endpoint
{
    return Endpoint::parse(fleet.configuration()["backendServers"][0]["address"].get<std::string>());
}

/// Latency with and without the daemon in one run, at several concurrencies.
auto measureLatency(Json& figures) -> bool
{
    auto fleet = LocalFleet(LocalFleet::Shape{{"dc-1"}, 1, 1, 1, 2});
    if (!prepare(fleet)) {
        return false;
    }
    const auto daemon = fleet.daemon(s_host).id();
    figures["resident_mb_idle"] = residentMegabytes(daemon);
    const auto request = chatRequest(true, 8);
    runLoad(callersOf(fleet), request, 8, s_warmUp);
    auto failures = std::size_t{0};
    for (const auto concurrency : {std::size_t{1}, std::size_t{8}, std::size_t{32}}) {
        const auto requests = concurrency == 1 ? s_requestsEach / 8 : s_requestsEach;
        const auto direct = runLoad(engineOf(fleet), request, concurrency, requests);
        const auto usedBefore = processorSeconds(daemon);
        const auto through = runLoad(callersOf(fleet), request, concurrency, requests);
        const auto used = processorSeconds(daemon) - usedBefore;
        failures += direct.failures + through.failures;
        figures["added_ms_p50"] = through.quantile(0.5) - direct.quantile(0.5);
        figures["added_ms_p99"] = through.quantile(0.99) - direct.quantile(0.99);
        figures["requests_per_core_second"] = static_cast<double>(through.milliseconds.size()) / used;
        std::cout << "concurrency " << concurrency << ": direct p50 " << direct.quantile(0.5) << " p99 " << direct.quantile(0.99)
                  << ", through the daemon p50 " << through.quantile(0.5) << " p99 " << through.quantile(0.99) << " ms, "
                  << figures["requests_per_core_second"] << " requests a core second of 9 chunks each\n";
    }
    figures["failures"] = failures;
    return true;
}

/// Memory with 1,000 and 5,000 open streams.
auto measureStreams(Json& figures) -> bool
{
    constexpr auto slowTokenMs = 60'000;
    auto fleet = LocalFleet(LocalFleet::Shape{{"dc-1"}, 1, 1, 1, slowTokenMs});
    if (!prepare(fleet)) {
        return false;
    }
    fleet.setFaults(s_engine, {{"firstTokenAtOnce", true}});
    const auto daemon = fleet.daemon(s_host).id();
    auto streams = OpenStreams(callersOf(fleet), chatRequest(true, 8));
    const auto idle = residentMegabytes(daemon);
    auto opened = std::size_t{0};
    for (const auto count : {std::size_t{1'000}, std::size_t{5'000}}) {
        opened = streams.growTo(count);
        std::cout << opened << " open streams: " << residentMegabytes(daemon) << " MB resident\n";
    }
    figures["open_streams"] = opened;
    figures["kb_per_open_stream"] =
        opened == 0 ? 0 : (residentMegabytes(daemon) - idle) * s_kilobytesPerMegabyte / static_cast<double>(opened);
    return opened > 0;
}

auto raiseFileLimit() -> void
{
    auto limit = rlimit();
    getrlimit(RLIMIT_NOFILE, &limit);
    limit.rlim_cur = limit.rlim_max;
    setrlimit(RLIMIT_NOFILE, &limit);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    readRunOptions(argc, argv);
    raiseFileLimit();
    auto figures = Json::object();
    if (!measureLatency(figures) || !measureStreams(figures)) {
        std::cerr << "the daemon did not become ready\n";
        return 1;
    }
    std::cout << figures.dump() << '\n';
    return 0;
}
