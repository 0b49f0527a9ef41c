#include "testing/support/localfleet.h"

#include <chrono>
#include <fstream>
#include <iostream>
#include <map>
#include <sstream>
#include <thread>

#include <unistd.h>

using laburnummill::framework::Json;
using laburnummill::framework::parseJson;
using laburnummill::testing::LocalFleet;

namespace {

using Clock = std::chrono::steady_clock;

constexpr auto s_daemonsEach = std::array<std::size_t, 4>{1, 2, 4, 8};
constexpr auto s_settle = std::chrono::seconds(3);
constexpr auto s_window = std::chrono::seconds(5);
constexpr auto s_changeInterval = std::chrono::seconds(1);
constexpr auto s_fullSize = 380.0;
constexpr auto s_kilobyte = 1'000.0;
constexpr auto s_megabyte = 1'000'000.0;
constexpr auto s_bytesSent = "laburnummill_gossip_bytes_sent_total";
constexpr auto s_bytesTaken = "laburnummill_gossip_bytes_taken_total";
constexpr auto s_fieldOfUserTime = 11; ///< of /proc/PID/stat, counted behind the program's name

/// Totals since the start, over all daemons of a fleet.
struct Totals
{
    double cpuSeconds = 0;
    double residentBytes = 0;
    double gossipBytes = 0;
    double storeReads = 0;
    double storeWrites = 0;
};

/// Figures by name, per daemon and second.
using Point = std::map<std::string, double>;

auto addProcess(pid_t id, Totals& totals) -> void
{
    auto text = std::string();
    std::getline(std::ifstream("/proc/" + std::to_string(id) + "/stat"), text);
    auto fields = std::istringstream(text.substr(text.rfind(')') + 2));
    auto field = std::string();
    for (auto index = 0; index < s_fieldOfUserTime; ++index) {
        fields >> field;
    }
    auto user = 0.0;
    auto system = 0.0;
    fields >> user >> system;
    totals.cpuSeconds += (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    auto pages = 0.0;
    std::ifstream("/proc/" + std::to_string(id) + "/statm") >> field >> pages;
    totals.residentBytes += pages * static_cast<double>(sysconf(_SC_PAGESIZE));
}

auto metricIn(const std::string& exposition, const std::string& name) -> double
{
    auto lines = std::istringstream(exposition);
    for (auto line = std::string(); std::getline(lines, line);) {
        if (line.starts_with(name + " ")) {
            return std::stod(line.substr(name.size()));
        }
    }
    return 0;
}

auto totalsOf(LocalFleet& fleet) -> Totals
{
    auto totals = Totals();
    for (const auto& host : fleet.hosts()) {
        addProcess(fleet.daemon(host).id(), totals);
        const auto exposition = fleet.caller(host).get("/metrics").body;
        totals.gossipBytes += metricIn(exposition, s_bytesSent) + metricIn(exposition, s_bytesTaken);
    }
    const auto counts = parseJson(fleet.fake("platform").get("/counts").body).value_or(Json::object());
    totals.storeReads = counts.value("reads", 0.0);
    totals.storeWrites = counts.value("writes", 0.0);
    return totals;
}

auto change(LocalFleet& fleet, std::uint64_t expected) -> void
{
    const auto body = Json{{"expected", expected}, {"configuration", fleet.configuration()}};
    fleet.operatorOf(fleet.hosts().front()).put("/admin/v1/configuration", body);
}

/// One window, idle or with a configuration change each second.
auto measure(LocalFleet& fleet, bool changes) -> Point
{
    const auto before = totalsOf(fleet);
    const auto start = Clock::now();
    auto version = std::uint64_t{1};
    while (Clock::now() - start < s_window) {
        if (changes) {
            change(fleet, version++);
        }
        std::this_thread::sleep_for(s_changeInterval);
    }
    const auto seconds = std::chrono::duration<double>(Clock::now() - start).count();
    const auto after = totalsOf(fleet);
    const auto share = seconds * static_cast<double>(fleet.hosts().size());
    return {
        {"cpu_percent_of_core", 100 * (after.cpuSeconds - before.cpuSeconds) / share},
        {"resident_mb", after.residentBytes / s_megabyte / static_cast<double>(fleet.hosts().size())},
        {"kb_per_second", (after.gossipBytes - before.gossipBytes) / s_kilobyte / share},
        {"store_reads_per_second", (after.storeReads - before.storeReads) / share},
        {"store_writes_per_second", (after.storeWrites - before.storeWrites) / share},
    };
}

/// Least squares over the sizes; the value at full size is what the line gives there.
auto worked(const std::map<double, Point>& points, const std::string& name) -> Json
{
    auto count = 0.0;
    auto sumX = 0.0;
    auto sumY = 0.0;
    auto sumXx = 0.0;
    auto sumXy = 0.0;
    for (const auto& [size, point] : points) {
        count += 1;
        sumX += size;
        sumY += point.at(name);
        sumXx += size * size;
        sumXy += size * point.at(name);
    }
    const auto slope = (count * sumXy - sumX * sumY) / (count * sumXx - sumX * sumX);
    const auto start = (sumY - slope * sumX) / count;
    return {{"per_daemon_at_largest", points.rbegin()->second.at(name)}, {"slope", slope}, {"at_380", start + slope * s_fullSize}};
}

auto summary(const std::map<double, Point>& points) -> Json
{
    auto document = Json::object();
    for (const auto& [name, value] : points.begin()->second) {
        document[name] = worked(points, name);
    }
    return document;
}

} // namespace

auto main() -> int
{
    auto idle = std::map<double, Point>();
    auto changing = std::map<double, Point>();
    for (const auto each : s_daemonsEach) {
        auto fleet = LocalFleet(LocalFleet::Shape{{"dc-1", "dc-2", "dc-3"}, each, 0, 0});
        if (!fleet.startAll()) {
            std::cerr << "the daemons did not become ready\n";
            return 1;
        }
        std::this_thread::sleep_for(s_settle);
        const auto size = static_cast<double>(fleet.hosts().size());
        idle[size] = measure(fleet, false);
        changing[size] = measure(fleet, true);
        std::cout << size << " daemons: idle " << Json(idle[size]).dump() << ", changing " << Json(changing[size]).dump() << std::endl;
    }
    std::cout << Json{{"idle", summary(idle)}, {"changing", summary(changing)}}.dump() << std::endl;
    return 0;
}
