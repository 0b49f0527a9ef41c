#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"
#include "peers/peererrors.h"

#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::peers {

/// The other hosts of the fleet that are currently reachable.
class IPeers
{
public:
    virtual ~IPeers() = default;

    /// Addresses of all other hosts that are reachable, those of the own data centre first.
    virtual auto reachableHosts() const -> std::vector<std::string> = 0;

    /// Address of the program's home: the host of the own data centre that counts the program's tokens and stores its turns
    /// for the data centre. Hosts with the same set of reachable hosts choose the same home. May be this host.
    virtual auto home(std::string_view program) const -> std::string = 0;

    /// Up to two other hosts that store a program's turns while the store is unavailable: its home, and one in another data
    /// centre.
    virtual auto replicaHosts(std::string_view program) const -> std::vector<std::string> = 0;

    /// Hosts with a direct connection to the store, those of the own data centre first.
    virtual auto storeProxies() const -> std::vector<std::string> = 0;

    /// Whether a host that may be serving is unreachable now.
    virtual auto isAnyHostUnreachable() const -> bool = 0;

    /// Whether turns may exist, or may have been lost on a restart, that no reachable host has: an unreachable host may be
    /// serving, or as many hosts have restarted recently as hold copies of a turn while the store is unavailable.
    virtual auto mayHaveUnknownTurns() const -> bool = 0;

    /// Whether within the last seconds a host was unreachable, could not reach the store, or held turns not yet written to the
    /// store. Tokens may then have been granted that are not yet recorded in a row.
    virtual auto wasStoreImpairedRecently() const -> bool = 0;

    /// Whether this incarnation of the host at `address` is reachable and has written all of its turns to the store. A later
    /// incarnation has no record of them.
    virtual auto hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation) const -> bool = 0;

    virtual auto ownAddress() const -> std::string = 0;
    virtual auto ownIncarnation() const -> std::uint64_t = 0;

    /// Calls the host at `address`. Errors: see PeerError.
    virtual auto call(std::string address, messages::Request request, framework::Milliseconds timeout)
        -> framework::AsyncResult<messages::Response> = 0;
};

} // namespace laburnummill::peers
