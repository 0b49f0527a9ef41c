#pragma once

#include "framework/global/iclock.h"
#include "store/istore.h"
#include "store/routedstore.h"
#include "store/storehealth.h"

#include <functional>

namespace laburnummill::store {

/// Notices at once when a store that was away answers again, so that what hosts keep in memory meanwhile does not stay there longer than it
/// must. Calls to a store that is away may hang until their time-outs, and new ones are begun without waiting for these.
class ReturnProbe
{
public:
    /// `onAnswer`: called whenever a partition answers again.
    ReturnProbe(framework::asio::any_io_executor executor, IStore& direct, DirectWay& way, StoreHealth& health,
                const framework::IClock& clock, std::function<void()> onAnswer);

    auto start() -> void;

private:
    auto run() -> framework::Async<void>;
    auto startProbe(std::string partition) -> void;
    auto probe(std::string partition) -> framework::Async<void>;

    framework::asio::any_io_executor m_executor;
    IStore& m_direct;
    DirectWay& m_way;
    StoreHealth& m_health;
    const framework::IClock& m_clock;
    std::function<void()> m_onAnswer;
    std::size_t m_next = 0;
    bool m_isFollowingUp = false; ///< the other partitions are being probed since one has answered
};

} // namespace laburnummill::store
