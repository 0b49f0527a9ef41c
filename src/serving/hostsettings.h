#pragma once

#include "framework/global/nametable.h"
#include "framework/global/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::serving {

/// How hosts decide which work to accept when the backend servers cannot do all of it.
enum class OverloadControl
{
    ByServers,  ///< by the share of the servers' slots that is in use
    ByPrograms, ///< whole programs, by the measured stretch of their turns and by the client accounts' fair shares
};

inline constexpr auto s_overloadControlNames = framework::NameTable<OverloadControl, 2>{{
    {OverloadControl::ByServers, "by_servers"},
    {OverloadControl::ByPrograms, "by_programs"},
}};

/// Settings of an entry host.
struct HostSettings
{
    std::string host;
    std::string dataCentre;
    std::string callerAddress;                     ///< IP:PORT for callers
    std::string readyAddress;                      ///< IP:PORT of the readiness probe
    std::optional<std::string> metricsAddress;     ///< IP:PORT of the metrics and the state dump
    std::string peerAddress;                       ///< IP:PORT at which other hosts reach this one by TCP and UDP
    std::vector<std::string> furtherPeerAddresses; ///< IP:PORT each, to be used in place of `peerAddress` if that is held
    std::optional<std::string> peerListen;         ///< IP:PORT to listen on for other hosts, if not `peerAddress`
    std::vector<std::string> seedPeers;            ///< peer addresses of some other hosts; may be stale
    std::string storeAddress;                      ///< IP:PORT
    std::size_t storeRowBytes = 65'536;            ///< the most that the store accepts as a row's value
    OverloadControl overloadControl = OverloadControl::ByServers;
    bool offersRollouts = false; ///< the operator may order rollouts of new versions
    bool isFirstStart = false;   ///< first start of the whole system: no requests were served before
    std::uint64_t memoryBytes = 0;
    std::uint64_t descriptors = 0;            ///< number that the process may use; 0 if only the system's limit applies
    framework::Milliseconds stopGrace{8'000}; ///< time between the stop signal and the kill of the process
};

} // namespace laburnummill::serving
