#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::serving {

/// What an entry host is told at its start.
struct HostSettings
{
    std::string host;
    std::string dataCentre;
    std::string callerAddress;                 ///< IP:PORT where callers connect
    std::string readyAddress;                  ///< IP:PORT that tells whether the host takes callers
    std::optional<std::string> metricsAddress; ///< IP:PORT of metrics and state dump
    std::string peerAddress;                   ///< IP:PORT at which other hosts reach this one, TCP and UDP
    std::optional<std::string> peerListen;     ///< IP:PORT to listen on for them, where it is not `peerAddress`
    std::vector<std::string> seedPeers;        ///< peer addresses of some other hosts; may be stale
    std::string storeAddress;                  ///< IP:PORT
    bool isFirstStart = false;                 ///< of the whole system: nothing was served before
    std::uint64_t memoryBytes = 0;
    framework::Milliseconds stopGrace{8'000}; ///< from the order to stop until the process is killed
};

} // namespace laburnummill::serving
