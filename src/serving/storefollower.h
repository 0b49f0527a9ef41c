#pragma once

#include "framework/global/iclock.h"
#include "framework/metrics/metrics.h"
#include "serving/fleetknowledge.h"
#include "store/routedstore.h"

namespace laburnummill::serving {

/// Follows the operator's rows and those of backend servers in the store, and notices when the direct way fails.
class StoreFollower
{
public:
    StoreFollower(framework::asio::any_io_executor executor, store::IStore& direct, store::IChangeFeed& feed, store::DirectWay& way,
                  FleetKnowledge& knowledge, const IRowDecoder& decoder, const framework::IClock& clock);

    auto start() -> void;
    auto stop() -> void { m_isStopped = true; }

private:
    auto follow(std::string table, bool isOperators) -> framework::Async<void>;
    auto readWhole(std::string table, bool isOperators) -> framework::AsyncResult<void>;
    auto readChanges(std::string table, bool isOperators) -> framework::AsyncResult<void>;
    auto take(const std::vector<store::Row>& rows, std::uint64_t version, bool isWhole, bool isOperators) -> void;
    auto note(const std::error_code& error) -> void;

    framework::asio::any_io_executor m_executor;
    store::IStore& m_direct;
    store::IChangeFeed& m_feed;
    store::DirectWay& m_way;
    FleetKnowledge& m_knowledge;
    const IRowDecoder& m_decoder;
    const framework::IClock& m_clock;
    bool m_isStoreLost = false;
    bool m_isStopped = false;
};

} // namespace laburnummill::serving
