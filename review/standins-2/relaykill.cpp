// A host reaches no backend server by itself and uses connections through another host. That host's process is killed while an answer is on
// its way whose end is the end of its connection.
//
// relaykill ROOT FOLDER RECORD; the environment's TROUBLE=0 leaves the cut and the kills out. Ends with 1 if a caller was handed a part of
// an answer as a whole one, 0 if not, 2 if the case could not run.
#include "rig.h"

using namespace rig;

namespace {

constexpr auto s_hosts = 3;
constexpr auto s_servers = 3;
constexpr auto s_events = 14;
constexpr auto s_eventMs = 100L; ///< within the 150 ms that the route allows between events
constexpr auto s_rounds = 4;

/// A backend server with a listening address for each host.
class Server
{
public:
    Server(int number, Record& record)
        : m_number(number)
        , m_record(record)
    {
        for (auto host = 0; host < s_hosts; ++host) {
            m_paths.push_back(std::make_unique<Listener>([this, host](Connection& connection) { serve(connection, host); }));
        }
    }

    auto addresses() const -> std::vector<std::string>
    {
        auto found = std::vector<std::string>();
        for (const auto& path : m_paths) {
            found.push_back(path->address());
        }
        return found;
    }

    auto path(int host) -> Listener& { return *m_paths[static_cast<std::size_t>(host)]; }

    /// The host whose path carried a request, by the request's id; -1 if the server has not begun it.
    auto carrier(const std::string& id) -> int
    {
        const auto lock = std::lock_guard(m_mutex);
        const auto found = m_carriers.find(id);
        return found == m_carriers.end() ? -1 : found->second;
    }
    auto bodyOf(const std::string& id) -> std::string
    {
        const auto lock = std::lock_guard(m_mutex);
        return m_bodies[id];
    }

private:
    auto serve(Connection& connection, int host) -> void
    {
        while (true) {
            const auto request = readMessage(connection, false);
            if (!request.isWhole) {
                return;
            }
            if (request.target() == "/health") {
                connection.write("HTTP/1.1 200 OK\r\nInstance-Id: i-" + std::to_string(m_number) + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            const auto id = request.header("Request-Id");
            {
                const auto lock = std::lock_guard(m_mutex);
                m_carriers[id] = host;
                m_bodies[id] = request.body;
            }
            m_record.add("server " + std::to_string(m_number) + " begins " + id + ", through host " + std::to_string(host));
            const auto signature = "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: sig-" + id + "\r\n";
            // Without a length: the answer ends with its channel.
            if (!connection.write(signature + "Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")) {
                return;
            }
            auto sent = 0;
            while (sent < s_events) {
                rest(s_eventMs);
                auto gone = pollfd{.fd = connection.descriptor(), .events = POLLIN, .revents = 0};
                if (::poll(&gone, 1, 0) > 0 && !connection.readMore(0)) {
                    break;
                }
                ++sent;
                if (!connection.write("id: " + std::to_string(sent) + "\ndata: word" + std::to_string(sent) + "\n\n")) {
                    break;
                }
            }
            m_record.add("server " + std::to_string(m_number) + " ends " + id + " after " + std::to_string(sent) + " of " +
                         std::to_string(s_events) + " events");
            return;
        }
    }

    int m_number;
    Record& m_record;
    std::vector<std::unique_ptr<Listener>> m_paths;
    std::mutex m_mutex;
    std::map<std::string, int> m_carriers;
    std::map<std::string, std::string> m_bodies;
};

auto eventsIn(const std::string& body) -> int
{
    auto count = 0;
    for (auto at = body.find("data: word"); at != std::string::npos; at = body.find("data: word", at + 1)) {
        ++count;
    }
    return count;
}

constexpr auto s_configuration = R"({"version":1,"routes":[
    {"name":"quote","hostname":"shop.example","prefix":"/quote/","kind":"stream","timeout_ms":3000,"target_latency_ms":200,
     "target_gap_ms":150,"service":"agents","max_attempts":2,"retain":true,"retention_s":60}],
    "services":[{"name":"agents","health_path":"/health","max_conns":150,"engine":{"slots":12,"kv_capacity":172547,"tokens_per_event":14}}],
    "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
    "tenants":[{"name":"north","api_keys":["key-of-north"],"rate_per_s":0,"burst":0}]})";

auto turn(const std::string& id, const std::string& previous) -> Ask
{
    auto request = Ask{.path = "/quote/1", .id = id, .body = "input of " + id + "\n"};
    request.headers = {{"Program-Id", "p-" + id}, {"Session-Id", "s-" + id}, {"Token-Usage", "20,196"}, {"Token-Budget", "1960"},
                       {"Program-Deadline-Ms", "20000"}};
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
    auto record = Record(argv[3]);
    auto store = Store(s_hosts);
    auto servers = std::vector<std::unique_ptr<Server>>();
    store.put("op", "config", s_configuration);
    for (auto number = 0; number < s_servers; ++number) {
        servers.push_back(std::make_unique<Server>(number, record));
        store.putServer("i-" + std::to_string(number), "agents", "zone-" + std::to_string(number), 12, servers.back()->addresses());
    }
    auto hosts = Hosts(argv[1], argv[2], {"zone-0", "zone-1", "zone-2"}, store, 280);
    hosts.startAll();
    if (!hosts.areAllReady()) {
        record.add("the hosts do not start");
        finish(hosts, 2);
    }
    rest(3'500); // contact_ms
    auto wrong = 0;
    auto relayed = 0;
    auto whole = 0;
    for (auto round = 0; round < s_rounds; ++round) {
        const auto cutAt = nowMs();
        if (isTrouble) {
            for (const auto& server : servers) {
                server->path(0).cut();
            }
            record.add("host 0 loses its path to all servers: connections are reset and refused");
        }
        // Requests until one is under way; the first ones after the cut show the host that it reaches no server.
        auto answer = Message();
        auto id = std::string();
        auto carrier = -1;
        for (auto attempt = 0; attempt < 20 && carrier < 0; ++attempt) {
            id = "r" + std::to_string(round) + "-" + std::to_string(attempt);
            auto isDone = std::atomic(false);
            auto client = std::thread([&] {
                answer = ask(hosts.ip(0), hosts.front(), turn(id, {}));
                isDone = true;
            });
            while (!isDone && carrier < 0) {
                for (const auto& server : servers) {
                    carrier = std::max(carrier, server->carrier(id));
                }
                rest(5);
            }
            if (carrier >= 0 && isTrouble) {
                rest(s_eventMs * 4 + s_eventMs / 2); // Between two events.
                if (carrier != 0) {
                    ++relayed;
                    record.add("host " + std::to_string(carrier) + ", through which " + id + " goes, is killed");
                    hosts.kill(carrier);
                }
            }
            client.join();
            record.add("caller: " + id + " status " + std::to_string(answer.status()) + ", " + std::to_string(eventsIn(answer.body)) +
                       " events, " + (answer.isWhole ? "whole" : "broken off"));
            if (carrier < 0) {
                rest(200);
            }
        }
        if (carrier < 0) {
            record.add("no server was reached");
            finish(hosts, 2);
        }
        whole += answer.status() == 200 && answer.isWhole && eventsIn(answer.body) == s_events ? 1 : 0;
        if (answer.status() == 200 && answer.isWhole && eventsIn(answer.body) < s_events) {
            ++wrong;
            record.add("WRONG: " + id + " ended as complete after " + std::to_string(eventsIn(answer.body)) + " of " +
                       std::to_string(s_events) + " events, with signature " + answer.header("Response-Signature"));
        }
        if (isTrouble) {
            for (const auto& server : servers) {
                server->path(0).open();
            }
            record.add("host 0 reaches the servers again, " + std::to_string(nowMs() - cutAt) + " ms after the cut");
        }
        if (isTrouble && carrier > 0) {
            hosts.start(carrier, false);
            if (!hosts.awaitReady(carrier)) {
                record.add("a host does not start again");
                finish(hosts, 2);
            }
            rest(3'500); // contact_ms
        }
    }
    record.add(std::to_string(wrong) + " of " + std::to_string(s_rounds) + " streams ended as complete before their last event, " +
               std::to_string(whole) + " ended whole; " + std::to_string(relayed) + " kills of a relaying host");
    if (isTrouble && relayed == 0) {
        finish(hosts, 2);
    }
    finish(hosts, wrong > 0 ? 1 : 0);
}
