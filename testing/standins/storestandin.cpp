#include "standins/storestandin.h"

#include "framework/global/digest.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>

namespace laburnummill::testing {

namespace {

namespace http = boost::beast::http;
using framework::Json;
using framework::Milliseconds;

auto base64(const std::string& bytes) -> std::string
{
    auto text = std::string(4 * ((bytes.size() + 2) / 3) + 1, '\0');
    text.resize(
        static_cast<std::size_t>(EVP_EncodeBlock(reinterpret_cast<unsigned char*>(text.data()),
                                                 reinterpret_cast<const unsigned char*>(bytes.data()), static_cast<int>(bytes.size()))));
    return text;
}

auto plainOf64(const std::string& text) -> std::string
{
    auto bytes = std::string(text.size() / 4 * 3, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char*>(bytes.data()), reinterpret_cast<const unsigned char*>(text.data()),
                    static_cast<int>(text.size()));
    const auto padding = std::ranges::count(text, '=');
    bytes.resize(bytes.size() - static_cast<std::size_t>(padding));
    return bytes;
}

auto plain(std::string_view text) -> std::string
{
    auto decoded = std::string();
    for (auto index = std::size_t{0}; index < text.size(); ++index) {
        if (text[index] == '%' && index + 2 < text.size()) {
            auto byte = 0;
            std::from_chars(text.data() + index + 1, text.data() + index + 3, byte, 16);
            decoded += static_cast<char>(byte);
            index += 2;
        } else {
            decoded += text[index];
        }
    }
    return decoded;
}

auto queryOf(std::string_view text) -> std::map<std::string, std::string>
{
    auto query = std::map<std::string, std::string>();
    while (!text.empty()) {
        const auto end = text.find('&');
        const auto pair = text.substr(0, end);
        const auto mark = pair.find('=');
        if (mark != std::string_view::npos) {
            query[std::string(pair.substr(0, mark))] = plain(pair.substr(mark + 1));
        }
        text = end == std::string_view::npos ? std::string_view() : text.substr(end + 1);
    }
    return query;
}

auto numberOf(const std::map<std::string, std::string>& query, const std::string& name, std::uint64_t fallback) -> std::uint64_t
{
    const auto found = query.find(name);
    return found == query.end() ? fallback : std::stoull(found->second);
}

/// The partition that a call is about; empty if it is about none.
auto partOf(const std::map<std::string, std::string>& query, const std::string& body) -> std::string
{
    if (const auto found = query.find("part"); found != query.end()) {
        return found->second;
    }
    const auto call = Json::parse(body, nullptr, false);
    for (const auto* rows : {"puts", "expected_rev", "remove"}) {
        if (call.is_object() && call.contains(rows) && !call[rows].empty()) {
            return call[rows].front().value("part", std::string());
        }
    }
    return {};
}

} // namespace

StoreStandIn::StoreStandIn(asio::io_context& context)
    : m_context(context)
    , m_acceptor(context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , m_changed(context.get_executor())
{
    asio::co_spawn(m_context, accept(m_acceptor), asio::detached);
}

auto StoreStandIn::addEndpoint() -> asio::ip::tcp::endpoint
{
    auto& acceptor =
        m_furtherAcceptors.emplace_back(m_context, asio::ip::tcp::endpoint(asio::ip::make_address("127.0.0.1"), std::uint16_t{0}));
    asio::co_spawn(m_context, accept(acceptor), asio::detached);
    return acceptor.local_endpoint();
}

auto StoreStandIn::setCutOff(const asio::ip::tcp::endpoint& endpoint, bool isCutOff) -> void
{
    if (isCutOff) {
        m_cutOffPorts.insert(endpoint.port());
    } else {
        m_cutOffPorts.erase(endpoint.port());
    }
    m_changed.notify();
}

auto StoreStandIn::setFault(StoreFault fault) -> void
{
    m_fault = fault;
    m_changed.notify();
}

auto StoreStandIn::put(const std::string& table, const std::string& key, const std::string& value) -> void
{
    m_rows[{table, {}, key}] = {.value = base64(value), .version = ++m_version, .isRemoved = false};
    m_changed.notify();
}

auto StoreStandIn::remove(const std::string& table, const std::string& key) -> void
{
    m_rows[{table, {}, key}] = {.value = {}, .version = ++m_version, .isRemoved = true};
    m_changed.notify();
}

auto StoreStandIn::rows(const std::string& table) const -> std::size_t
{
    return static_cast<std::size_t>(
        std::ranges::count_if(m_rows, [&table](const auto& entry) { return entry.first.table == table && !entry.second.isRemoved; }));
}

auto StoreStandIn::value(const std::string& table, const std::string& key) const -> std::string
{
    const auto found = m_rows.find({table, {}, key});
    return found == m_rows.end() || found->second.isRemoved ? std::string() : plainOf64(found->second.value);
}

auto StoreStandIn::accept(asio::ip::tcp::acceptor& acceptor) -> asio::awaitable<void>
{
    while (true) {
        auto socket = co_await acceptor.async_accept(asio::use_awaitable);
        asio::co_spawn(m_context, serve(std::move(socket)), asio::detached);
    }
}

auto StoreStandIn::serve(asio::ip::tcp::socket socket) -> asio::awaitable<void>
{
    auto buffer = boost::beast::flat_buffer();
    auto ignored = boost::system::error_code();
    const auto port = socket.local_endpoint(ignored).port();
    while (true) {
        auto request = http::request<http::string_body>();
        auto error = boost::system::error_code();
        co_await http::async_read(socket, buffer, request, asio::redirect_error(asio::use_awaitable, error));
        if (error) {
            co_return;
        }
        if (m_cutOffPorts.contains(port)) {
            co_return;
        }
        ++m_calls;
        const auto target = std::string(request.target());
        const auto mark = target.find('?');
        const auto query = queryOf(mark == std::string::npos ? "" : target.substr(mark + 1));
        const auto part = partOf(query, request.body());
        auto reply = std::pair(0U, Json());
        const auto isRefusing = [this, part] { return faultOf(part) == StoreFault::Busy || faultOf(part) == StoreFault::TooMany; };
        if (!isRefusing() && faultOf(part) != StoreFault::Silent) {
            reply = co_await answer(target.substr(0, mark), query, request.body());
        }
        const auto isDone = reply.first != 0 && request.method() == http::verb::post;
        if (isRefusing() && !isDone) {
            reply = std::pair(faultOf(part) == StoreFault::Busy ? 503U : 429U, Json());
        }
        if (faultOf(part) == StoreFault::Silent) {
            auto pause = asio::steady_timer(m_context, std::chrono::hours(1));
            co_await pause.async_wait(asio::use_awaitable);
        }
        if (m_cutOffPorts.contains(port)) {
            co_return;
        }
        if (faultOf(part) == StoreFault::LostAnswer && request.method() == http::verb::post) {
            co_return;
        }
        auto response = http::response<http::string_body>(static_cast<http::status>(reply.first), 11);
        response.set(http::field::content_type, "application/json");
        response.body() = reply.second.dump();
        response.prepare_payload();
        co_await http::async_write(socket, response, asio::redirect_error(asio::use_awaitable, error));
    }
}

auto StoreStandIn::faultOf(const std::string& part) const -> StoreFault
{
    const auto hasPartsFault = !part.empty() && framework::hash64(part, m_partsFault.draw) % 3 < static_cast<unsigned>(m_partsFault.thirds);
    return m_fault == StoreFault::None && hasPartsFault ? m_partsFault.fault : m_fault;
}

auto StoreStandIn::answer(const std::string& path, const Query& query, const std::string& body)
    -> asio::awaitable<std::pair<unsigned, Json>>
{
    if (path == "/api/rows-tx") {
        co_return transact(Json::parse(body));
    }
    if (path == "/api/rows-get") {
        co_return std::pair(200U, list(query));
    }
    if (path == "/api/rows-feed") {
        co_return co_await changes(query);
    }
    co_return std::pair(404U, Json());
}

auto StoreStandIn::transact(const Json& call) -> std::pair<unsigned, Json>
{
    const auto keyOf = [](const Json& row) { return Key{row["table"], row["part"], row["key"]}; };
    auto reply = Json{{"rows", Json::array()}, {"now_ms", 0}};
    auto isExpected = true;
    for (const auto& row : call["expected_rev"]) {
        const auto key = keyOf(row);
        const auto found = m_rows.find(key);
        const auto isThere = found != m_rows.end() && !found->second.isRemoved;
        isExpected = isExpected && row["ver"] == (isThere ? found->second.version : 0);
        if (isThere) {
            reply["rows"].push_back(rowJson(key, found->second));
        }
    }
    if (!isExpected) {
        reply["ver"] = m_version;
        return {412, reply};
    }
    ++m_version;
    ++m_transactions;
    for (const auto& row : call["puts"]) {
        m_rows[keyOf(row)] = {.value = row["value"], .version = m_version, .isRemoved = false};
    }
    for (const auto& row : call["remove"]) {
        m_rows[keyOf(row)] = {.value = {}, .version = m_version, .isRemoved = true};
    }
    m_changed.notify();
    return {200, Json{{"ver", m_version}, {"now_ms", 0}}};
}

auto StoreStandIn::list(const Query& query) const -> Json
{
    auto reply = Json{{"rows", Json::array()}, {"has_more", false}, {"ver", m_version}, {"now_ms", 0}};
    const auto limit = numberOf(query, "limit", 500);
    const auto at = [&query](const std::string& name) { return query.contains(name) ? query.at(name) : std::string(); };
    for (const auto& [key, value] : m_rows) {
        const auto isWanted = key.table == at("table") && key.part == at("part") && key.key >= at("from") &&
                              (at("to").empty() || key.key < at("to")) && !value.isRemoved;
        if (!isWanted) {
            continue;
        }
        if (reply["rows"].size() >= limit) {
            reply["has_more"] = true;
            break;
        }
        reply["rows"].push_back(rowJson(key, value));
    }
    return reply;
}

auto StoreStandIn::changes(const Query& query) -> asio::awaitable<std::pair<unsigned, Json>>
{
    const auto after = numberOf(query, "after", 0);
    for (auto round = 0; round < 2; ++round) {
        if (after < m_historyFrom) {
            co_return std::pair(410U, Json());
        }
        auto changed = std::map<std::uint64_t, Json>();
        for (const auto& [key, value] : m_rows) {
            if (key.table == query.at("table") && value.version > after) {
                changed[value.version] = rowJson(key, value);
            }
        }
        if (!changed.empty() || round == 1) {
            auto reply = Json{{"rows", Json::array()}, {"ver", m_version}, {"now_ms", 0}};
            for (auto& [version, row] : changed) {
                reply["rows"].push_back(std::move(row));
            }
            co_return std::pair(200U, std::move(reply));
        }
        co_await m_changed.wait(Milliseconds(numberOf(query, "wait_ms", 0)));
    }
    co_return std::pair(500U, Json());
}

auto StoreStandIn::rowJson(const Key& key, const Value& value) const -> Json
{
    auto row = Json{{"table", key.table}, {"part", key.part}, {"key", key.key}, {"value", value.value}, {"ver", value.version}};
    if (value.isRemoved) {
        row["tombstone"] = true;
    }
    return row;
}

} // namespace laburnummill::testing
