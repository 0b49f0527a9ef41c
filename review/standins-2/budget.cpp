// Programs take a turn in each of three zones, so that each zone's host claims a part of their token budgets. Then all processes are killed, or
// all hosts are restarted in the planned way one after the other. The programs go on from their last turns: hardly any of the budgets is spent.
//
// budget ROOT FOLDER RECORD; HOW=kill (default) or HOW=roll; the environment's TROUBLE=0 leaves both out. Ends with 1 if a
// program's next turn reached no server until recovery_s was over, though others did; 0 if all did; 2 if the case could not run.
#include "rig.h"

using namespace rig;

namespace {

constexpr auto s_hosts = 3;
constexpr auto s_programs = 8;
constexpr auto s_recoveryMs = 12'000L;
constexpr auto s_maxTokens = 280;
constexpr auto s_budget = 2'240; ///< as in the example of PROTOCOL.md
constexpr auto s_tokensPerEvent = 14;
constexpr auto s_events = 2;

constexpr auto s_configuration = R"({"version":1,"routes":[
    {"name":"quote","hostname":"shop.example","prefix":"/quote/","kind":"stream","timeout_ms":3000,"target_latency_ms":200,
     "target_gap_ms":150,"service":"agents","max_attempts":2,"retain":true,"retention_s":60}],
    "services":[{"name":"agents","health_path":"/health","max_conns":150,"engine":{"slots":12,"kv_capacity":172547,"tokens_per_event":14}}],
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

auto serve(Connection& connection, Begun& begun, Record& record) -> void
{
    while (true) {
        const auto request = readMessage(connection, false);
        if (!request.isWhole) {
            return;
        }
        const auto id = request.header("Request-Id");
        begun.add(id);
        record.add("a server runs " + id);
        rest(60);
        auto body = std::string();
        for (auto number = 1; number <= s_events; ++number) {
            body += "id: " + std::to_string(number) + "\ndata: word" + std::to_string(number) + "\n\n";
        }
        if (!connection.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig-" + id +
                              "\r\nContent-Type: text/event-stream\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body)) {
            return;
        }
    }
}

auto turn(const std::string& id, const std::string& program, const std::string& previous) -> Ask
{
    auto request = Ask{.path = "/quote/1", .id = id, .body = "input of " + id + "\n"};
    request.headers = {{"Program-Id", program},
                       {"Session-Id", "s-" + program},
                       {"Token-Usage", "200," + std::to_string(s_maxTokens)},
                       {"Token-Budget", std::to_string(s_budget)},
                       {"Program-Deadline-Ms", "55000"}};
    if (!previous.empty()) {
        request.headers.emplace_back("Previous-Turn", previous);
    }
    return request;
}

auto programOf(int program) -> std::string
{
    return "program-" + std::to_string(program);
}

auto turnOf(int program, int number) -> std::string
{
    return "turn-" + std::to_string(program) + "-" + std::to_string(number);
}

} // namespace

auto main(int argc, char** argv) -> int
{
    if (argc != 4) {
        return 2;
    }
    const auto isTrouble = environment("TROUBLE", 1) != 0;
    const auto* how = std::getenv("HOW");
    const auto isRoll = how != nullptr && std::string(how) == "roll";
    auto record = Record(argv[3]);
    auto store = Store(s_hosts);
    auto begun = Begun();
    store.put("op", "config", s_configuration);
    auto servers = std::vector<std::unique_ptr<Listener>>();
    for (auto number = 0; number < 3; ++number) {
        servers.push_back(std::make_unique<Listener>([&](Connection& connection) { serve(connection, begun, record); }));
        store.putServer("i-" + std::to_string(number), "agents", "zone-" + std::to_string(number), 12,
                        std::vector<std::string>(s_hosts, servers.back()->address()));
    }
    auto hosts = Hosts(argv[1], argv[2], {"zone-0", "zone-1", "zone-2"}, store, 280);
    hosts.startAll();
    if (!hosts.areAllReady()) {
        record.add("the hosts do not start");
        finish(hosts, 2);
    }
    rest(3'500); // contact_ms

    for (auto program = 0; program < s_programs; ++program) {
        for (auto number = 1; number <= s_hosts; ++number) {
            const auto host = (program + number) % s_hosts;
            const auto answer = ask(hosts.ip(host), hosts.front(), turn(turnOf(program, number), programOf(program),
                                                                        number == 1 ? std::string() : turnOf(program, number - 1)));
            record.add("caller: " + turnOf(program, number) + " at host " + std::to_string(host) + ": status " +
                       std::to_string(answer.status()) + (answer.isWhole ? ", whole" : ", broken off"));
            if (answer.status() != 200 || !answer.isWhole) {
                finish(hosts, 2);
            }
            rest(150); // a call of a tool
        }
    }
    record.add("tokens handed to the caller of each program: " + std::to_string(s_hosts * s_events * s_tokensPerEvent) + " of " +
               std::to_string(s_budget));

    if (isTrouble && isRoll) {
        for (auto host = 0; host < s_hosts; ++host) {
            record.add("host " + std::to_string(host) + " gets SIGTERM");
            const auto code = hosts.stop(host, 8'000);
            record.add("it ended with " + std::to_string(code));
            rest(300);
            hosts.start(host, false);
            if (!hosts.awaitReady(host)) {
                finish(hosts, 2);
            }
        }
    } else if (isTrouble) {
        hosts.killAll();
        record.add("all processes are killed");
        rest(660);
        for (auto host = 0; host < s_hosts; ++host) {
            hosts.start(host, false);
        }
    }
    record.add("all hosts are started");
    const auto startedAt = nowMs();
    auto hasReached = std::vector<char>(s_programs, 0);
    auto firstTurns = 0;
    auto firstReached = 0;
    auto statuses = std::map<int, int>();
    // Callers send the next turn of each program, and first turns of others, until recovery_s is over.
    for (auto round = 0; nowMs() < startedAt + s_recoveryMs; ++round) {
        for (auto program = 0; program < s_programs; ++program) {
            const auto id = turnOf(program, s_hosts + 1) + "-" + std::to_string(round);
            const auto host = (program + round) % s_hosts;
            if (hasReached[static_cast<std::size_t>(program)] != 0) {
                continue;
            }
            const auto answer = ask(hosts.ip(host), hosts.front(), turn(id, programOf(program), turnOf(program, s_hosts)));
            ++statuses[answer.status()];
            hasReached[static_cast<std::size_t>(program)] = begun.contains(id) ? 1 : 0;
            record.add("caller: " + id + " at host " + std::to_string(host) + ": status " + std::to_string(answer.status()) +
                       (answer.status() == 200 ? "" : " " + answer.body));
        }
        const auto id = "first-" + std::to_string(round);
        ask(hosts.ip(round % s_hosts), hosts.front(), turn(id, "program-of-" + id, {}));
        if (nowMs() > startedAt + s_recoveryMs - 4'000) {
            ++firstTurns;
            firstReached += begun.contains(id) ? 1 : 0;
        }
        rest(300);
    }
    const auto lost = std::count(hasReached.begin(), hasReached.end(), 0);
    auto text = std::string();
    for (const auto& [status, count] : statuses) {
        text += ", " + std::to_string(status) + ": " + std::to_string(count);
    }
    record.add(std::to_string(lost) + " of " + std::to_string(s_programs) + " programs reached no server with their next turn until recovery_s" +
               text + "; in the last 4 s " + std::to_string(firstReached) + " of " + std::to_string(firstTurns) +
               " first turns of other programs reached one");
    finish(hosts, lost > 0 && firstTurns > 0 && firstReached * 5 >= firstTurns * 4 ? 1 : 0);
}
