#pragma once

#include "framework/global/iclock.h"
#include "framework/metrics/metrics.h"
#include "serving/fleetstate.h"
#include "store/routedstore.h"

namespace laburnummill::serving {

/// Watches the rows of the operator and of backend servers in the store, and detects failures of the direct connection to it.
class StoreWatcher
{
public:
    StoreWatcher(framework::asio::any_io_executor executor, store::IStore& direct, store::IChangeFeed& feed, store::DirectWay& way,
                 FleetState& fleetState, const IRowDecoder& decoder, const framework::IClock& clock);

    auto start() -> void;
    auto stop() -> void { m_isStopped = true; }

private:
    auto watchTable(std::string table, bool isOperatorTable) -> framework::Async<void>;
    auto readAll(std::string table, bool isOperatorTable) -> framework::AsyncResult<void>;
    auto readChanges(std::string table, bool isOperatorTable) -> framework::AsyncResult<void>;
    auto apply(const std::vector<store::Row>& rows, std::uint64_t version, bool isSnapshot, bool isOperatorTable) -> void;
    auto recordResult(const std::error_code& error) -> void;

    framework::asio::any_io_executor m_executor;
    store::IStore& m_direct;
    store::IChangeFeed& m_feed;
    store::DirectWay& m_way;
    FleetState& m_fleetState;
    const IRowDecoder& m_decoder;
    const framework::IClock& m_clock;
    bool m_isStoreUnreachable = false;
    bool m_isStopped = false;
};

} // namespace laburnummill::serving
