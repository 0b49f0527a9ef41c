#pragma once

#include "framework/metrics/metrics.h"
#include "serving/backendclient.h"

#include <string>
#include <vector>

namespace laburnummill::serving {

/// Asks backend servers for their present load just before a request is placed.
class LoadProbes
{
public:
    LoadProbes(framework::asio::any_io_executor executor, BackendClient& client, const framework::IClock& clock,
               framework::Metrics& metrics)
        : m_executor(std::move(executor))
        , m_client(client)
        , m_clock(clock)
        , m_metrics(metrics)
    {}

    /// Asks all of `servers` at the same time. Returns those that have answered in time; what they state is then known. The others count as
    /// silent.
    auto ask(std::vector<backends::BackendPtr> servers, std::string healthPath) -> framework::Async<std::vector<backends::BackendPtr>>;

private:
    struct Round;
    auto askOne(std::shared_ptr<Round> round, backends::BackendPtr server, std::string healthPath) -> framework::Async<void>;

    framework::asio::any_io_executor m_executor;
    BackendClient& m_client;
    const framework::IClock& m_clock;
    framework::Metrics& m_metrics;
};

} // namespace laburnummill::serving
