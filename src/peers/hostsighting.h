#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <string>

namespace laburnummill::peers {

/// What this host knows of another one from its heartbeats.
struct HostSighting
{
    std::string address;
    std::string host;              ///< name; empty if it was never heard
    std::uint64_t incarnation = 0; ///< the latest one; 0 if it was never heard
    bool hasEnded = false;         ///< the incarnation has ended with all of its turns and grants stored
    bool isFirstStart = false;
    bool isRegistered = false;        ///< in the register of hosts in the store
    std::uint64_t startedAt = 0;      ///< Unix milliseconds, by the other host's clock
    framework::Instant heardAt{};     ///< last heartbeat, or since when the address is known if it was never heard
    framework::Instant lostStateAt{}; ///< when an incarnation was replaced that neither was registered nor had ended; the epoch if never
};

} // namespace laburnummill::peers
