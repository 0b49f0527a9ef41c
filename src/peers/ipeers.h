#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"
#include "peers/fleetmessages.pb.h"
#include "peers/peererrors.h"

#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::peers {

/// The other hosts, as far as they are heard.
class IPeers
{
public:
    virtual ~IPeers() = default;

    /// Addresses of all hosts that are heard, those of the own data centre first.
    virtual auto reachableHosts() const -> std::vector<std::string> = 0;

    /// The host of the own data centre that counts a program's tokens and remembers its turns for all of them: the same
    /// for all that hear the same hosts. May be this host.
    virtual auto home(std::string_view program) const -> std::string = 0;

    /// Up to two other hosts that keep a program's turns while the store is away: its home, and one in another data centre.
    virtual auto replicaHosts(std::string_view program) const -> std::vector<std::string> = 0;

    /// Hosts that reach the store themselves, those of the own data centre first.
    virtual auto storeProxies() const -> std::vector<std::string> = 0;

    /// Whether a host that may be serving is not heard now.
    virtual auto isAnyHostUnreachable() const -> bool = 0;

    /// Whether turns may be held, or may have been lost with the memory of hosts, that nobody who is heard knows of:
    /// a host may serve unseen, or as many have started anew lately as hold a turn while the store is away.
    virtual auto mayHaveUnknownTurns() const -> bool = 0;

    /// Whether some host was silent, did not reach the store or held turns that it lacks within the last seconds: tokens may
    /// have been lent that no row shows yet.
    virtual auto wasStoreImpairedRecently() const -> bool = 0;

    /// Whether that incarnation of the host at `address` is heard and has written all of its turns. A later one knows nothing
    /// of them.
    virtual auto hasWrittenAllTurns(std::string_view address, std::uint64_t incarnation) const -> bool = 0;

    virtual auto ownAddress() const -> std::string = 0;
    virtual auto ownIncarnation() const -> std::uint64_t = 0;

    virtual auto call(std::string address, messages::Request request, framework::Milliseconds timeout)
        -> framework::AsyncResult<messages::Response> = 0;
};

} // namespace laburnummill::peers
