#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"
#include "peers/hostsighting.h"
#include "peers/outagereports.h"
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

    /// Addresses of all other reachable hosts. Hosts of this host's data centre come first.
    virtual auto reachableHosts() const -> std::vector<std::string> = 0;

    /// Address of the program's home: the host in this host's data centre that counts the program's tokens and stores its
    /// turns for the data centre. Hosts with the same set of reachable hosts choose the same home. May be this host.
    virtual auto home(std::string_view program) const -> std::string = 0;

    /// Up to two other hosts that store a program's turns while the store is unavailable: its home, and one in another data
    /// centre.
    virtual auto replicaHosts(std::string_view program) const -> std::vector<std::string> = 0;

    /// Address of the host that writes the transactions of all hosts to a partition of the store while the store is slow. Hosts with the
    /// same set of reachable hosts choose the same one. May be this host.
    virtual auto committer(std::string_view partition) const -> std::string = 0;

    /// Hosts with a direct connection to the store. Hosts of this host's data centre come first.
    virtual auto storeProxies() const -> std::vector<std::string> = 0;

    /// Number of hosts that may be serving and are unreachable now. Hosts that have left in order are not among them.
    virtual auto unreachableHosts() const -> int = 0;

    /// The other hosts that may be serving or have served recently; see PeerTable::sightings().
    virtual auto sightings() const -> std::vector<HostSighting> = 0;

    /// Number of hosts that may be serving, unreachable ones and this host included.
    virtual auto membershipSize() const -> int = 0;

    /// Whether this host has restarted and the store has not answered it since: it may have forgotten which host's grants it
    /// supported during the current outage.
    virtual auto mayHaveForgottenSupport() const -> bool = 0;

    /// What hosts report of grants of tokens without the store to `programs`, a bit for each value of a hash.
    virtual auto outageReports(std::uint64_t programs) const -> OutageReports = 0;

    /// Whether the host at `address` is reachable, still has this incarnation and reports no grants without the store to `programs`.
    virtual auto hasRecordedGrants(std::string_view address, std::uint64_t incarnation, std::uint64_t programs) const -> bool = 0;

    /// Whether the host at `address` is reachable, still has this incarnation and has written all of its turns to the store. A
    /// later incarnation has no record of turns of an earlier one.
    virtual auto hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation) const -> bool = 0;

    /// Address of the reachable host with this name that still has this incarnation; empty if there is none.
    virtual auto addressOf(std::string_view host, std::uint64_t incarnation) const -> std::string = 0;

    virtual auto ownAddress() const -> std::string = 0;
    virtual auto ownIncarnation() const -> std::uint64_t = 0;

    /// Calls the host at `address`. Errors: see PeerError.
    virtual auto call(std::string address, messages::Request request, framework::Milliseconds timeout)
        -> framework::AsyncResult<messages::Response> = 0;
};

} // namespace laburnummill::peers
