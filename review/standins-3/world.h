// Stand-ins for the scripts of this review: the platform's store and engines by PROTOCOL.md, clients, and the processes of the project
// on loopback addresses. One thread a connection; nothing here decides whether a rule was broken.
#pragma once

#include <nlohmann/json.hpp>

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <strings.h>
#include <thread>
#include <tuple>
#include <vector>

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using Ms = std::chrono::milliseconds;

inline void sleepMs(int ms) { std::this_thread::sleep_for(Ms(ms)); }

/// record.txt: what was sent, answered and run, with the time since the start.
class Record
{
public:
    explicit Record(const std::string& path)
        : m_file(path)
        , m_start(Clock::now())
    {}
    double seconds() const { return std::chrono::duration<double>(Clock::now() - m_start).count(); }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", seconds());
        m_file << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start;
};

inline sockaddr_in addressOf(const std::string& ip, int port)
{
    auto address = sockaddr_in();
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, ip.c_str(), &address.sin_addr);
    return address;
}

/// A connection with a read buffer.
class Channel
{
public:
    explicit Channel(int fd)
        : m_fd(fd)
    {
        int one = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    }
    ~Channel() { close(); }
    Channel(const Channel&) = delete;
    Channel& operator=(const Channel&) = delete;

    static std::unique_ptr<Channel> connect(const std::string& ip, int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const auto address = addressOf(ip, port);
        if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Channel>(fd);
    }

    bool write(const std::string& text)
    {
        for (std::size_t sent = 0; sent < text.size();) {
            const auto size = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (size <= 0) {
                return false;
            }
            sent += static_cast<std::size_t>(size);
        }
        return true;
    }

    /// Reads more bytes into the buffer; false at the end, after an error or after `waitMs` (negative: for ever).
    bool fill(int waitMs = -1)
    {
        auto waiting = pollfd{.fd = m_fd, .events = POLLIN, .revents = 0};
        if (::poll(&waiting, 1, waitMs) <= 0) {
            return false;
        }
        char block[16384];
        const auto size = ::recv(m_fd, block, sizeof(block), 0);
        if (size <= 0) {
            m_hasEnded = true;
            return false;
        }
        buffer.append(block, static_cast<std::size_t>(size));
        return true;
    }

    bool hasEnded() const { return m_hasEnded; }
    void close()
    {
        if (m_fd >= 0) {
            ::close(m_fd);
        }
        m_fd = -1;
    }
    /// Ends the connection with a reset.
    void reset()
    {
        const auto linger = ::linger{.l_onoff = 1, .l_linger = 0};
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        close();
    }

    std::string buffer;

private:
    int m_fd;
    bool m_hasEnded = false;
};

struct Message
{
    std::string first; ///< the request line or the status line
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
    bool isWhole = false;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0) {
                return value;
            }
        }
        return {};
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
};

/// Reads one message with a length, in chunks, or (for answers without either) up to the end of the connection.
inline std::optional<Message> readMessage(Channel& channel, int waitMs = -1, bool isAnswer = false)
{
    auto message = Message();
    std::size_t end;
    while ((end = channel.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!channel.fill(waitMs)) {
            return std::nullopt;
        }
    }
    auto head = channel.buffer.substr(0, end + 2);
    channel.buffer.erase(0, end + 4);
    auto next = head.find("\r\n");
    message.first = head.substr(0, next);
    for (auto start = next + 2; start < head.size();) {
        next = head.find("\r\n", start);
        const auto text = head.substr(start, next - start);
        const auto colon = text.find(':');
        auto value = colon == std::string::npos ? std::string() : text.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(text.substr(0, colon), value);
        start = next + 2;
    }
    const auto need = [&](std::size_t bytes) {
        while (channel.buffer.size() < bytes) {
            if (!channel.fill(waitMs)) {
                return false;
            }
        }
        return true;
    };
    if (strcasecmp(message.header("Transfer-Encoding").c_str(), "chunked") == 0) {
        while (true) {
            std::size_t lineEnd;
            while ((lineEnd = channel.buffer.find("\r\n")) == std::string::npos) {
                if (!channel.fill(waitMs)) {
                    return message;
                }
            }
            const auto size = std::strtoul(channel.buffer.c_str(), nullptr, 16);
            if (!need(lineEnd + 2 + size + 2)) {
                message.body += channel.buffer.substr(lineEnd + 2, size);
                return message;
            }
            message.body += channel.buffer.substr(lineEnd + 2, size);
            channel.buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0) {
                break;
            }
        }
    } else if (const auto length = message.header("Content-Length"); !length.empty()) {
        const auto size = std::strtoul(length.c_str(), nullptr, 10);
        if (!need(size)) {
            message.body = channel.buffer;
            return message;
        }
        message.body = channel.buffer.substr(0, size);
        channel.buffer.erase(0, size);
    } else if (isAnswer) {
        while (channel.fill(waitMs)) {
        }
        message.body = std::exchange(channel.buffer, {});
        message.isWhole = channel.hasEnded();
        return message;
    }
    message.isWhole = true;
    return message;
}

/// Accepts connections on a free loopback port; one thread a connection.
class Server
{
public:
    using Handler = std::function<void(Channel&)>;

    explicit Server(Handler handler, const std::string& ip = "127.0.0.1")
        : m_ip(ip)
        , m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = addressOf(ip, 0);
        if (::bind(m_fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) != 0 || ::listen(m_fd, 256) != 0) {
            throw std::runtime_error("cannot listen");
        }
        socklen_t size = sizeof(address);
        ::getsockname(m_fd, reinterpret_cast<sockaddr*>(&address), &size);
        m_port = ntohs(address.sin_port);
        std::thread([this] {
            while (true) {
                const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
                if (fd < 0) {
                    return;
                }
                std::thread([this, fd] {
                    auto channel = Channel(fd);
                    m_handler(channel);
                }).detach();
            }
        }).detach();
    }
    int port() const { return m_port; }
    std::string address() const { return m_ip + ":" + std::to_string(m_port); }

private:
    std::string m_ip;
    Handler m_handler;
    int m_fd;
    int m_port;
};

inline std::string encode64(const std::string& bytes)
{
    static const char* letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned block = 0;
        for (std::size_t j = 0; j < 3; ++j) {
            block = block << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0);
        }
        for (int j = 0; j < 4; ++j) {
            text += i + static_cast<std::size_t>(j) <= bytes.size() ? letters[block >> (18 - 6 * j) & 63] : '=';
        }
    }
    return text;
}

/// The platform's store: rows, conditions, changes. It loses nothing that it has acknowledged.
class Store
{
public:
    Store()
        : m_server([this](Channel& channel) { serve(channel); })
    {}

    std::string address() const { return m_server.address(); }

    void put(const std::string& table, const std::string& key, const Json& value)
    {
        const std::lock_guard lock(m_mutex);
        m_rows[{table, "", key}] = {++m_version, encode64(value.dump()), false};
        m_changed.notify_all();
    }

    /// Called for each call with its path and its partition; false: the store is unavailable for it (503, nothing done).
    std::function<bool(const std::string& path, const std::string& part)> serves = [](const auto&, const auto&) { return true; };

private:
    struct Row
    {
        std::uint64_t version;
        std::string value;
        bool isRemoved;
    };
    using Key = std::tuple<std::string, std::string, std::string>;

    Json rowJson(const Key& key) const
    {
        const auto& row = m_rows.at(key);
        auto json = Json{{"table", std::get<0>(key)}, {"part", std::get<1>(key)}, {"key", std::get<2>(key)}, {"ver", row.version}};
        if (row.isRemoved) {
            json["tombstone"] = true;
        } else {
            json["value"] = row.value;
        }
        return json;
    }
    Json answerWith(Json rows) const
    {
        const auto now = std::chrono::duration_cast<Ms>(Clock::now().time_since_epoch()).count();
        return {{"rows", std::move(rows)}, {"ver", m_version}, {"now_ms", now}};
    }
    static Key keyOf(const Json& entry) { return {entry.at("table"), entry.at("part"), entry.at("key")}; }

    std::pair<int, Json> transact(const Json& call)
    {
        const std::lock_guard lock(m_mutex);
        auto holds = true;
        auto current = Json::array();
        for (const auto& expected : call.value("expected_rev", Json::array())) {
            const auto found = m_rows.find(keyOf(expected));
            const auto isThere = found != m_rows.end() && !found->second.isRemoved;
            holds = holds && (isThere ? found->second.version : 0) == expected.at("ver").get<std::uint64_t>();
            if (isThere) {
                current.push_back(rowJson(found->first));
            }
        }
        if (!holds) {
            return {412, answerWith(current)};
        }
        ++m_version;
        for (const auto& put : call.value("puts", Json::array())) {
            m_rows[keyOf(put)] = {m_version, put.at("value"), false};
        }
        for (const auto& removal : call.value("remove", Json::array())) {
            if (m_rows.contains(keyOf(removal))) {
                m_rows[keyOf(removal)] = {m_version, "", true};
            }
        }
        m_changed.notify_all();
        return {200, answerWith(Json::array())};
    }

    std::pair<int, Json> answer(const std::string& path, std::map<std::string, std::string>& query, const std::string& body)
    {
        if (path == "/api/rows-tx") {
            return transact(Json::parse(body));
        }
        auto lock = std::unique_lock(m_mutex);
        if (path == "/api/rows-get") {
            const auto limit = query.contains("limit") ? std::min(500, std::stoi(query["limit"])) : 500;
            auto rows = Json::array();
            auto hasMore = false;
            for (const auto& [key, row] : m_rows) {
                const auto& [table, part, name] = key;
                if (table != query["table"] || part != query["part"] || row.isRemoved || name < query["from"] ||
                    (query.contains("to") && name >= query["to"])) {
                    continue;
                }
                if (static_cast<int>(rows.size()) == limit) {
                    hasMore = true;
                    break;
                }
                rows.push_back(rowJson(key));
            }
            auto page = answerWith(std::move(rows));
            page["has_more"] = hasMore;
            return {200, page};
        }
        if (path == "/api/rows-feed") {
            const auto after = std::stoull(query["after"]);
            const auto until = Clock::now() + Ms(query.contains("wait_ms") ? std::stoi(query["wait_ms"]) : 0);
            while (true) {
                auto changes = std::map<std::uint64_t, std::vector<Key>>();
                for (const auto& [key, row] : m_rows) {
                    if (std::get<0>(key) == query["table"] && row.version > after) {
                        changes[row.version].push_back(key);
                    }
                }
                auto rows = Json::array();
                for (const auto& [version, keys] : changes) {
                    for (const auto& key : keys) {
                        rows.push_back(rowJson(key));
                    }
                }
                if (!rows.empty() || Clock::now() >= until) {
                    return {200, answerWith(std::move(rows))};
                }
                m_changed.wait_until(lock, until);
            }
        }
        return {404, Json::object()};
    }

    static std::string decoded(const std::string& text)
    {
        std::string plain;
        for (std::size_t i = 0; i < text.size(); ++i) {
            if (text[i] == '%' && i + 2 < text.size()) {
                plain += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
                i += 2;
            } else {
                plain += text[i];
            }
        }
        return plain;
    }

    void serve(Channel& channel)
    {
        while (const auto request = readMessage(channel)) {
            const auto target = request->first.substr(request->first.find(' ') + 1);
            const auto full = target.substr(0, target.find(' '));
            const auto path = full.substr(0, full.find('?'));
            auto query = std::map<std::string, std::string>();
            auto rest = full.size() > path.size() ? full.substr(path.size() + 1) : std::string();
            while (!rest.empty()) {
                const auto end = rest.find('&');
                const auto pair = rest.substr(0, end);
                query[pair.substr(0, pair.find('='))] = decoded(pair.substr(pair.find('=') + 1));
                rest = end == std::string::npos ? std::string() : rest.substr(end + 1);
            }
            auto part = query["part"];
            if (path == "/api/rows-tx") {
                const auto call = Json::parse(request->body);
                for (const auto* list : {"puts", "expected_rev", "remove"}) {
                    for (const auto& entry : call.value(list, Json::array())) {
                        part = entry.at("part");
                    }
                }
            }
            sleepMs(4);
            auto status = 503;
            auto body = Json(Json::object());
            if (serves(path, part)) {
                std::tie(status, body) = answer(path, query, request->body);
            }
            const auto text = body.dump();
            if (!channel.write("HTTP/1.1 " + std::to_string(status) + " S\r\nContent-Type: application/json\r\nContent-Length: " +
                               std::to_string(text.size()) + "\r\n\r\n" + text)) {
                return;
            }
        }
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<Key, Row> m_rows;
    std::uint64_t m_version = 0;
    Server m_server;
};

/// An engine of one service: streams three events to requests below /turns/, answers the rest whole.
class Engine
{
public:
    using Ran = std::function<void(const std::string& engine, const Message& request)>;

    Engine(std::string id, std::string service, std::string zone, Ran ran)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_zone(std::move(zone))
        , m_ran(std::move(ran))
        , m_server([this](Channel& channel) { serve(channel); })
    {}

    const std::string& id() const { return m_id; }

    Json entry(std::int64_t sequence) const
    {
        return {{"service", m_service}, {"address", m_server.address()}, {"zone", m_zone}, {"version", "v1"}, {"slots", 12},
                {"state", "ready"},     {"cold_left_ms", 0},             {"seq", sequence}, {"born", 1'700'000'000'000}};
    }

    int eventPauseMs = 20;
    std::function<int(const Message& request)> plainStatus = [](const Message&) { return 200; };

private:
    void serve(Channel& channel)
    {
        while (const auto request = readMessage(channel)) {
            const auto id = request->header("Request-Id");
            const auto expected = request->header("Expect-Instance");
            if (request->first.find(" /health ") != std::string::npos) {
                channel.write("HTTP/1.1 200 OK\r\nInstance-Id: " + m_id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (!expected.empty() && expected != m_id) {
                channel.write("HTTP/1.1 421 M\r\nRequest-Id: " + id + "\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            if (id.empty()) {
                channel.write("HTTP/1.1 400 B\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n");
                continue;
            }
            m_ran(m_id, *request);
            const auto isStream = request->first.find(" /turns/") != std::string::npos;
            const auto status = isStream ? 200 : plainStatus(*request);
            const auto head = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " F") + "\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id + "\r\n";
            if (!isStream) {
                const auto body = "answer to " + id;
                channel.write(head + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
                continue;
            }
            channel.write(head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (auto number = 1; number <= 3; ++number) {
                const auto event = "id: " + std::to_string(number) + "\ndata: " + id + "-" + std::to_string(number) + "\n\n";
                char size[16];
                std::snprintf(size, sizeof(size), "%zx\r\n", event.size());
                sleepMs(eventPauseMs);
                channel.write(size + event + "\r\n");
            }
            channel.write("0\r\n\r\n");
        }
    }

    std::string m_id;
    std::string m_service;
    std::string m_zone;
    Ran m_ran;
    Server m_server;
};

/// Three routes on one host name: turns that the system keeps, requests that may repeat, requests that may not; two tenants.
inline Json configuration(int version = 1)
{
    const auto route = [](const char* name, const char* prefix, const char* kind, const char* service, int timeout, int attempts) {
        return Json{{"name", name},          {"hostname", "shop.example"}, {"prefix", prefix},         {"kind", kind},
                    {"service", service},    {"timeout_ms", timeout},      {"target_latency_ms", 200}, {"target_gap_ms", 200},
                    {"max_attempts", attempts}, {"priority", 1}};
    };
    auto turns = route("turns", "/turns/", "stream", "llm", 4000, 2);
    turns["retain"] = true;
    turns["retention_s"] = 60;
    return {{"version", version},
            {"routes", {turns, route("lookups", "/lookups/", "safe", "app", 1200, 2), route("charges", "/charges/", "unsafe", "app", 3000, 1)}},
            {"services",
             {{{"name", "llm"}, {"health_path", "/health"}, {"max_conns", 170}, {"engine", {{"slots", 12}, {"kv_capacity", 90000}, {"tokens_per_event", 10}}}},
              {{"name", "app"}, {"health_path", "/health"}, {"max_conns", 110}}}},
            {"limits", {{"max_header_bytes", 16384}, {"max_body_bytes", 4194304}, {"header_timeout_ms", 5000}, {"idle_timeout_ms", 15000}}},
            {"tenants",
             {{{"name", "brewer"}, {"api_keys", {"key-brewer"}}, {"rate_per_s", 0}, {"burst", 0}},
              {{"name", "roofer"}, {"api_keys", {"key-roofer"}}, {"rate_per_s", 0}, {"burst", 0}}}}};
}

/// The project's program as one process a machine, on addresses 127.0.0.11 and up, all with the same free ports.
class Fleet
{
public:
    Fleet(std::string program, std::string folder, const Store& store, std::vector<std::string> zones)
        : m_program(std::move(program))
        , m_folder(std::move(folder))
        , m_zones(std::move(zones))
        , m_processes(m_zones.size(), -1)
    {
        m_port = freePorts();
        for (std::size_t i = 0; i < m_zones.size(); ++i) {
            writeSettings(i, store.address(), true);
        }
    }
    ~Fleet()
    {
        for (std::size_t i = 0; i < m_processes.size(); ++i) {
            kill(i);
        }
    }

    std::size_t size() const { return m_zones.size(); }
    std::string ip(std::size_t host) const { return "127.0.0." + std::to_string(11 + host); }
    int frontPort() const { return m_port; }

    void writeSettings(std::size_t host, const std::string& store, bool isFirstStart)
    {
        const auto at = [&](int offset) { return ip(host) + ":" + std::to_string(m_port + offset); };
        auto zones = Json::object();
        auto seeds = Json::array();
        for (std::size_t i = 0; i < m_zones.size(); ++i) {
            zones[m_zones[i]] = "region";
            if (i < 3) {
                seeds.push_back(ip(i) + ":" + std::to_string(m_port + 2));
            }
        }
        const auto settings = Json{
            {"node_name", "front-" + std::to_string(host + 1)},
            {"role", "entry"},
            {"machine_class", "front"},
            {"serves", {"front", "control"}},
            {"ip", ip(host)},
            {"zone", m_zones[host]},
            {"region", "region"},
            {"zones", zones},
            {"listen", {{"front", at(0)}, {"ready", at(1)}, {"control", at(2)}}},
            {"port_range", {m_port + 3, m_port + 6}},
            {"seeds", seeds},
            {"bootstrap", isFirstStart},
            {"fault_counted", false},
            {"limits", {{"cpu_share", 0.5}, {"cores", 1}, {"memory_mb", 130}, {"max_fds", 8200}, {"link_mbps", 1000.0}, {"disk_mb", 0}}},
            {"data_dir", nullptr},
            {"discovery", "platform"},
            {"entry", "virtual_ip"},
            {"heartbeat_ms", 1200},
            {"contracts", {"base", "drain", "config", "cost", "recover", "agent", "stream", "engine", "tenants", "quota", "places", "platform"}},
            {"fault_tolerance", {{"machines", 1}, {"zones", 1}, {"regions", 0}}},
            {"bounds", {{"contact_ms", 3000}, {"drain_ms", 2000}, {"grace_s", 8}, {"config_apply_ms", 2000}, {"recovery_s", 12}}},
            {"provider",
             {{"address", store}, {"form", "table"}, {"writes_per_s", 800}, {"reads_per_s", 2000}, {"tx_ms", 5.0},
              {"part_writes_s", 200}, {"row_bytes", 65536}, {"across", false}, {"history_s", 20}}}};
        std::ofstream(settingsFile(host)) << settings.dump(2);
    }

    void start(std::size_t host)
    {
        const auto variable = "LABURNUMMILL_NODE_FILE=" + settingsFile(host);
        const auto log = m_folder + "/host-" + std::to_string(host + 1) + ".log";
        const auto path = std::string("PATH=/usr/bin:/bin");
        char* arguments[] = {m_program.data(), nullptr};
        char* environment[] = {const_cast<char*>(variable.c_str()), const_cast<char*>(path.c_str()), nullptr};
        const auto id = ::fork();
        if (id == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL); // No process outlives the script.
            const int fd = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(fd, 1);
            ::dup2(fd, 2);
            ::execve(m_program.c_str(), arguments, environment);
            ::_exit(127);
        }
        m_processes[host] = id;
    }

    void send(std::size_t host, int signal)
    {
        if (m_processes[host] > 0) {
            ::kill(m_processes[host], signal);
        }
    }
    void kill(std::size_t host)
    {
        if (m_processes[host] > 0) {
            ::kill(m_processes[host], SIGKILL);
            ::waitpid(m_processes[host], nullptr, 0);
        }
        m_processes[host] = -1;
    }
    /// The exit status once the process has ended by itself; nothing while it runs.
    std::optional<int> ended(std::size_t host)
    {
        auto status = 0;
        if (m_processes[host] > 0 && ::waitpid(m_processes[host], &status, WNOHANG) == m_processes[host]) {
            m_processes[host] = -1;
            return status;
        }
        return std::nullopt;
    }

    bool isReady(std::size_t host)
    {
        const auto channel = Channel::connect(ip(host), m_port + 1);
        if (!channel || !channel->write("GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n")) {
            return false;
        }
        const auto answer = readMessage(*channel, 1000, true);
        return answer && answer->status() == 200;
    }
    bool awaitReady(int patienceMs = 15'000)
    {
        for (const auto until = Clock::now() + Ms(patienceMs); Clock::now() < until; sleepMs(100)) {
            auto areReady = true;
            for (std::size_t i = 0; i < m_zones.size(); ++i) {
                areReady = areReady && isReady(i);
            }
            if (areReady) {
                return true;
            }
        }
        return false;
    }

private:
    std::string settingsFile(std::size_t host) const { return m_folder + "/settings-" + std::to_string(host + 1) + ".json"; }

    int freePorts() const
    {
        for (auto base = 21'000; base < 29'000; base += 10) {
            auto areFree = true;
            for (std::size_t host = 0; host < m_zones.size() && areFree; ++host) {
                for (auto offset = 0; offset < 7 && areFree; ++offset) {
                    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                    const auto address = addressOf(ip(host), base + offset);
                    areFree = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
                    ::close(fd);
                }
            }
            if (areFree) {
                return base;
            }
        }
        throw std::runtime_error("no free ports");
    }

    std::string m_program;
    std::string m_folder;
    std::vector<std::string> m_zones;
    std::vector<pid_t> m_processes;
    int m_port = 0;
};

inline bool hasTrouble()
{
    const auto* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string(trouble) != "0";
}

} // namespace review
