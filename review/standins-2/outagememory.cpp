// Callers send long inputs while the store is down. The platform's stand-in kills a process that exceeds its memory, as the users' platform
// does, and starts it again. Afterwards every turn that was answered whole must be one that other turns can continue.
//
// outagememory ROOT FOLDER RECORD; the environment's TROUBLE=0 leaves the outage out. Ends with 1 if a turn that was answered whole reached
// no server in six tries, 0 if all were continued, 2 if the case could not run.
#include "rig.h"

using namespace rig;

namespace {

constexpr auto s_hosts = 3;
constexpr auto s_memoryMegabytes = 130;
constexpr auto s_outageMs = 7'000L;
constexpr auto s_callersPerHost = 8;
constexpr auto s_inputBytes = std::size_t{100'000};
constexpr auto s_tries = 6;
constexpr auto s_checkedTurns = std::size_t{64}; ///< spread evenly over those that were answered
constexpr auto s_enough = 8;                      ///< lost turns after which the check ends

constexpr auto s_configuration = R"({"version":1,"routes":[
    {"name":"proof","hostname":"shop.example","prefix":"/proof/","kind":"stream","timeout_ms":4000,"target_latency_ms":200,
     "target_gap_ms":200,"service":"assistant","max_attempts":2,"retain":true,"retention_s":60}],
    "services":[{"name":"assistant","health_path":"/health","max_conns":170,"engine":{"slots":12,"kv_capacity":400000,"tokens_per_event":14}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"north","api_keys":["key-of-north"],"rate_per_s":0,"burst":0}]})";

/// Ids of requests that a server has begun.
class Begun
{
public:
    auto add(const std::string& id) -> void
    {
        const auto lock = std::lock_guard(m_mutex);
        m_ids.insert(id);
    }
    auto contains(const std::string& id) -> bool
    {
        const auto lock = std::lock_guard(m_mutex);
        return m_ids.contains(id);
    }

private:
    std::mutex m_mutex;
    std::set<std::string> m_ids;
};

auto serve(Connection& connection, Begun& begun) -> void
{
    while (true) {
        const auto request = readMessage(connection, false);
        if (!request.isWhole) {
            return;
        }
        const auto id = request.header("Request-Id");
        begun.add(id);
        rest(60);
        const auto body = std::string("id: 1\ndata: word1\n\nid: 2\ndata: word2\n\n");
        if (!connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig-" + id +
                              "\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

auto turn(const std::string& id, const std::string& program, const std::string& previous, const std::string& body) -> Ask
{
    auto request = Ask{.path = "/proof/1", .id = id, .deadlineMs = 4'000, .body = body};
    request.headers = {{"Program-Id", program},  {"Session-Id", "s-" + program},    {"Token-Usage", "15000,196"},
                       {"Token-Budget", "1960"}, {"Program-Deadline-Ms", "50000"}};
    if (!previous.empty()) {
        request.headers.emplace_back("Previous-Turn", previous);
    }
    return request;
}

/// Memory of a process that no file backs, in MiB: less than what the platform counts.
auto occupiedMegabytes(int process) -> double
{
    auto file = std::ifstream("/proc/" + std::to_string(process) + "/status");
    for (auto line = std::string(); std::getline(file, line);) {
        if (line.starts_with("RssAnon:")) {
            return std::strtod(line.c_str() + 8, nullptr) / 1'024;
        }
    }
    return 0;
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 4) {
        return 2;
    }
    const auto isTrouble = environment("TROUBLE", 1) != 0;
    auto record = Record(argv[3]);
    auto store = Store(s_hosts);
    auto begun = Begun();
    store.put("op", "config", s_configuration);
    auto servers = std::vector<std::unique_ptr<Listener>>();
    for (auto number = 0; number < 3; ++number) {
        servers.push_back(std::make_unique<Listener>([&begun](Connection& connection) { serve(connection, begun); }));
        store.putServer("i-" + std::to_string(number), "assistant", "zone-" + std::to_string(number), 12,
                        std::vector<std::string>(s_hosts, servers.back()->address()));
    }
    auto hosts = Hosts(argv[1], argv[2], {"zone-0", "zone-1", "zone-2"}, store, s_memoryMegabytes);
    hosts.startAll();
    if (!hosts.areAllReady()) {
        record.add("the hosts do not start");
        finish(hosts, 2);
    }
    rest(3'500); // contact_ms

    auto isOver = std::atomic(false);
    auto kills = std::atomic(0);
    auto peak = 0.0;
    auto platform = std::thread([&] {
        while (!isOver) {
            for (auto host = 0; host < s_hosts; ++host) {
                const auto occupied = occupiedMegabytes(hosts.id(host));
                peak = std::max(peak, occupied);
                if (occupied > s_memoryMegabytes) {
                    hosts.kill(host);
                    ++kills;
                    record.add("platform: host " + std::to_string(host) + " occupies " + std::to_string(occupied) + " MiB of " +
                               std::to_string(s_memoryMegabytes) + " and is killed");
                    rest(300);
                    hosts.start(host, false);
                }
            }
            rest(5);
        }
    });

    if (isTrouble) {
        store.setState(Store::State::Busy);
        record.add("the store answers 503");
    }
    auto mutex = std::mutex();
    auto answered = std::vector<std::string>();
    const auto until = nowMs() + s_outageMs - 200;
    auto callers = std::vector<std::thread>();
    for (auto caller = 0; caller < s_hosts * s_callersPerHost; ++caller) {
        callers.emplace_back([&, caller] {
            for (auto number = 0; nowMs() < until; ++number) {
                const auto id = "t" + std::to_string(caller) + "-" + std::to_string(number);
                const auto answer =
                    ask(hosts.ip(caller % s_hosts), hosts.front(), turn(id, "p-" + id, {}, std::string(s_inputBytes, 'x') + "\n"));
                const auto isWhole = answer.status() == 200 && answer.isWhole;
                record.add("caller: " + id + " status " + std::to_string(answer.status()) + (isWhole ? ", whole" : ""));
                if (isWhole) {
                    const auto lock = std::lock_guard(mutex);
                    answered.push_back(id);
                }
                rest(200);
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    store.setState(Store::State::Sound);
    record.add("the store answers; " + std::to_string(answered.size()) + " turns were answered whole");
    rest(2'000);
    if (!hosts.areAllReady()) {
        record.add("the hosts do not become ready again");
        finish(hosts, 2);
    }
    rest(4'000); // contact_ms after the end of the outage and the last start; hosts write what they hold within 3 s

    // A part of these turns is continued, at the hosts in turn.
    auto checked = std::vector<std::string>();
    for (auto index = std::size_t{0}; index < std::min(s_checkedTurns, answered.size()); ++index) {
        checked.push_back(answered[index * answered.size() / std::min(s_checkedTurns, answered.size())]);
    }
    auto lost = std::atomic(0);
    auto next = std::atomic(std::size_t{0});
    callers.clear();
    for (auto worker = 0; worker < 8; ++worker) {
        callers.emplace_back([&] {
            for (auto index = next++; index < checked.size() && lost < s_enough; index = next++) {
                const auto& previous = checked[index];
                auto statuses = std::string();
                auto hasReached = false;
                for (auto attempt = 0; attempt < s_tries && !hasReached; ++attempt) {
                    const auto id = "c-" + previous + "-" + std::to_string(attempt);
                    const auto host = static_cast<int>((index + static_cast<std::size_t>(attempt)) % s_hosts);
                    const auto answer = ask(hosts.ip(host), hosts.front(), turn(id, "p-" + previous, previous, "go on\n"));
                    statuses += " " + std::to_string(answer.status());
                    hasReached = begun.contains(id);
                    if (!hasReached) {
                        rest(300);
                    }
                }
                if (!hasReached) {
                    ++lost;
                    record.add("LOST: " + previous + " was answered whole; turns that continue it got" + statuses);
                }
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    auto first = 0;
    for (auto number = 0; number < 10; ++number) {
        const auto id = "f" + std::to_string(number);
        ask(hosts.ip(number % s_hosts), hosts.front(), turn(id, "p-" + id, {}, "begin\n"));
        first += begun.contains(id) ? 1 : 0;
    }
    isOver = true;
    platform.join();
    record.add("largest process " + std::to_string(peak) + " MiB; " + std::to_string(kills) + " processes killed for their memory; " +
               std::to_string(lost) + " of the first " + std::to_string(std::min(next.load(), checked.size())) +
               " turns checked (of " + std::to_string(answered.size()) + " answered) reached no server in " + std::to_string(s_tries) +
               " tries; " + std::to_string(first) + " of 10 first turns reached one");
    if (answered.empty()) {
        finish(hosts, 2);
    }
    finish(hosts, lost > 0 && first >= 9 ? 1 : 0);
}
