#pragma once

#include "testing/simulation/virtualfleet.h"

namespace laburnummill::testing {

/// Faults that begin and end at random, alone and in pairs.
class FaultSchedule
{
public:
    explicit FaultSchedule(VirtualFleet& fleet);

    /// Handles the next event of the fleet and begins or ends faults that are due.
    auto step() -> void;

private:
    enum class Kind
    {
        Crash,
        Pause,
        Leave,
        LoseMessages,
        DelayMessages,
        StoreDown,
        StoreDownForSome,
        LoseStoreAnswers,
        DelayStore,
        Partition,
    };
    struct Running
    {
        framework::Instant ends;
        std::function<void()> end;
    };

    auto begin() -> void;
    auto beginAtHost(Kind kind, std::size_t host) -> std::function<void()>;
    auto beginOnNetwork(Kind kind) -> std::function<void()>;
    auto someHosts() -> std::set<std::string>;

    VirtualFleet& m_fleet;
    framework::Instant m_next;
    std::vector<Running> m_running;
};

} // namespace laburnummill::testing
