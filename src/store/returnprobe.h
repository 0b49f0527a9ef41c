#pragma once

#include "framework/global/iclock.h"
#include "framework/global/workcount.h"
#include "store/istore.h"
#include "store/routedstore.h"
#include "store/storehealth.h"

#include <functional>
#include <string>
#include <vector>

namespace laburnummill::store {

/// Notices at once when a store that was away answers again, so that what hosts keep in memory meanwhile does not stay there longer than it
/// must. Calls to a store that is away may hang until their time-outs, and new ones are begun without waiting for these.
///
/// While calls fail and none is answered, it reads from other partitions as well: their answers tell a store that is away in part from one
/// that is away as a whole, also on hosts that make few calls.
class ReturnProbe
{
public:
    /// `partitions`: all that this host uses. `onAnswer`: called whenever a partition answers again.
    ReturnProbe(framework::asio::any_io_executor executor, IStore& direct, DirectWay& way, StoreHealth& health,
                const framework::IClock& clock, std::vector<std::string> partitions, std::function<void()> onAnswer);

    auto start() -> void;

private:
    auto run() -> framework::Async<void>;
    auto startProbe(std::string partition) -> void;
    auto probe(std::string partition) -> framework::Async<void>;
    /// Reads from partitions of which nothing is known since the last answer.
    auto startSample() -> void;
    auto sample(std::string partition, framework::WorkCount::Token token) -> framework::Async<void>;
    auto read(const std::string& partition) -> framework::AsyncResult<RowPage>;

    framework::asio::any_io_executor m_executor;
    IStore& m_direct;
    DirectWay& m_way;
    StoreHealth& m_health;
    const framework::IClock& m_clock;
    std::vector<std::string> m_partitions; ///< in the order in which they are sampled
    std::function<void()> m_onAnswer;
    framework::WorkCount m_samples; ///< under way
    std::size_t m_next = 0;
    bool m_isFollowingUp = false; ///< the other partitions are being probed since one has answered
};

} // namespace laburnummill::store
