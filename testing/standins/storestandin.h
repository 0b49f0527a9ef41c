#pragma once

#include "framework/global/json.h"
#include "framework/global/signal.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>

#include <list>
#include <map>
#include <set>
#include <string>

namespace laburnummill::testing {

namespace asio = boost::asio;

/// What is wrong with the store.
enum class StoreFault
{
    None,
    Busy,       ///< 503, nothing done
    TooMany,    ///< 429, nothing done
    Silent,     ///< no answer, nothing done
    LostAnswer, ///< done, and the connection closed without an answer
};

/// A fault that some of the store's partitions have. Rows without a partition, the operator's and the hosts', are never among them.
struct StorePartsFault
{
    StoreFault fault = StoreFault::None;
    int thirds = 0;         ///< of the partitions that have it
    std::uint64_t draw = 0; ///< chooses which
};

/// The platform's store by its published protocol, in memory: rows, conditions, changes with a history that can be dropped.
class StoreStandIn
{
public:
    explicit StoreStandIn(asio::io_context& context);

    auto endpoint() const -> asio::ip::tcp::endpoint { return m_acceptor.local_endpoint(); }

    /// An address of its own for one client.
    auto addEndpoint() -> asio::ip::tcp::endpoint;

    /// Whether calls at an address of addEndpoint() end without an answer and without effect.
    auto setCutOff(const asio::ip::tcp::endpoint& endpoint, bool isCutOff) -> void;

    /// Calls that the store holds for changes meet the fault as well.
    auto setFault(StoreFault fault) -> void;
    auto fault() const -> StoreFault { return m_fault; }
    auto setPartsFault(StorePartsFault fault) -> void { m_partsFault = fault; }

    /// Changes before now are no longer told.
    auto dropHistory() -> void { m_historyFrom = m_version; }

    /// Writes a row as the operator or a backend server does.
    auto put(const std::string& table, const std::string& key, const std::string& value) -> void;
    auto remove(const std::string& table, const std::string& key) -> void;

    auto rows(const std::string& table) const -> std::size_t;
    /// Empty if there is no such row.
    auto value(const std::string& table, const std::string& key) const -> std::string;
    auto transactions() const -> int { return m_transactions; }
    auto calls() const -> int { return m_calls; }

private:
    struct Key
    {
        std::string table;
        std::string part;
        std::string key;

        auto operator<=>(const Key&) const = default;
    };

    struct Value
    {
        std::string value; ///< base64
        std::uint64_t version = 0;
        bool isRemoved = false;
    };

    using Query = std::map<std::string, std::string>;

    auto accept(asio::ip::tcp::acceptor& acceptor) -> asio::awaitable<void>;
    auto serve(asio::ip::tcp::socket socket) -> asio::awaitable<void>;
    auto answer(const std::string& path, const Query& query, const std::string& body)
        -> asio::awaitable<std::pair<unsigned, framework::Json>>;
    /// The fault that a call to the partition meets now.
    auto faultOf(const std::string& part) const -> StoreFault;
    auto transact(const framework::Json& call) -> std::pair<unsigned, framework::Json>;
    auto list(const Query& query) const -> framework::Json;
    auto changes(const Query& query) -> asio::awaitable<std::pair<unsigned, framework::Json>>;
    auto rowJson(const Key& key, const Value& value) const -> framework::Json;

    asio::io_context& m_context;
    asio::ip::tcp::acceptor m_acceptor;
    std::list<asio::ip::tcp::acceptor> m_furtherAcceptors;
    std::set<std::uint16_t> m_cutOffPorts;
    framework::Signal m_changed;
    std::map<Key, Value> m_rows;
    std::uint64_t m_version = 1;
    std::uint64_t m_historyFrom = 0;
    StoreFault m_fault = StoreFault::None;
    StorePartsFault m_partsFault;
    int m_transactions = 0;
    int m_calls = 0;
};

} // namespace laburnummill::testing
