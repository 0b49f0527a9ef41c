// A program takes a turn in each of three zones, so that each zone's host claims a part of its token budget. Then all processes are killed, or
// all hosts are restarted in the planned way one after the other. The program goes on from its last turn: hardly any of its budget is spent.
//
// budget ROOT FOLDER RECORD; HOW=kill (default) or HOW=roll; the environment's TROUBLE=0 leaves both out. Ends with 1 if the next turn
// reached no server in six tries, 0 if it did, 2 if the case could not run.
#include "rig.h"

using namespace rig;

namespace {

constexpr auto s_hosts = 3;
constexpr auto s_tries = 6;
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

    auto previous = std::string();
    for (auto number = 0; number < s_hosts; ++number) {
        const auto id = "turn-" + std::to_string(number + 1);
        const auto answer = ask(hosts.ip(number), hosts.front(), turn(id, "program-1", previous));
        record.add("caller: " + id + " at host " + std::to_string(number) + ": status " + std::to_string(answer.status()) +
                   (answer.isWhole ? ", whole" : ", broken off"));
        if (answer.status() != 200 || !answer.isWhole) {
            finish(hosts, 2);
        }
        previous = id;
        rest(300); // a call of a tool
    }
    record.add("tokens handed to the caller: " + std::to_string(s_hosts * s_events * s_tokensPerEvent) + " of " + std::to_string(s_budget));

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
    if (!hosts.areAllReady()) {
        record.add("the hosts do not become ready again");
        finish(hosts, 2);
    }
    rest(4'000); // contact_ms
    auto hasReached = false;
    for (auto attempt = 0; attempt < s_tries && !hasReached; ++attempt) {
        const auto id = "turn-4-" + std::to_string(attempt);
        const auto answer = ask(hosts.ip(attempt % s_hosts), hosts.front(), turn(id, "program-1", previous));
        hasReached = begun.contains(id);
        record.add("caller: " + id + " at host " + std::to_string(attempt % s_hosts) + ": status " + std::to_string(answer.status()) +
                   (answer.status() == 200 ? "" : " " + answer.body));
        rest(300);
    }
    auto first = 0;
    for (auto number = 0; number < 10; ++number) {
        const auto id = "first-" + std::to_string(number);
        ask(hosts.ip(number % s_hosts), hosts.front(), turn(id, "program-of-" + id, {}));
        first += begun.contains(id) ? 1 : 0;
    }
    record.add(std::string(hasReached ? "the turn that goes on reached a server" : "WRONG: the turn that goes on reached no server in six tries") +
               "; " + std::to_string(first) + " of 10 first turns of other programs reached one");
    finish(hosts, !hasReached && first >= 9 ? 1 : 0);
}
