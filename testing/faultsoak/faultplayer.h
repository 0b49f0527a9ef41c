#pragma once

#include "faultplan.h"
#include "soakfleet.h"

#include <list>
#include <map>

namespace laburnummill::testing {

/// States that lie over each other: what began last holds until it ends.
template<class State>
class Overlay
{
public:
    auto push(std::size_t token, State state) -> State
    {
        m_states.emplace_back(token, state);
        return state;
    }

    auto remove(std::size_t token) -> State
    {
        m_states.remove_if([token](const auto& entry) { return entry.first == token; });
        return m_states.empty() ? State{} : m_states.back().second;
    }

private:
    std::list<std::pair<std::size_t, State>> m_states;
};

/// Brings faults about, at their times.
class FaultPlayer
{
public:
    FaultPlayer(asio::io_context& context, SoakFleet& fleet, StopRecord& stops, std::vector<Fault> faults);

    /// Ends when the last fault is over and all hosts run.
    auto play() -> asio::awaitable<void>;

private:
    auto playOne(std::size_t number) -> asio::awaitable<void>;
    auto begin(std::size_t number) -> void;
    /// Returns false if it is no fault of the store.
    auto beginAtStore(std::size_t number) -> bool;
    auto end(std::size_t number) -> void;
    auto roll(int host) -> asio::awaitable<void>;
    auto setFrozen(int host, bool isFrozen) -> void;
    auto setDown(int host, bool isDown) -> void;
    auto setAllDown(bool areDown) -> void;
    auto cutDataCentres(const Fault& fault, bool isCut) -> void;
    auto hostOf(const Fault& fault) const -> int;
    auto placesOf(const Fault& fault) const -> std::vector<Place>;
    auto allHosts() const -> std::vector<Place>;
    auto hostsOfBoth(int dataCentre) const -> std::vector<Place>; ///< and of the next one
    auto recordBegin(const Fault& fault) -> void;
    auto recordEnd(const Fault& fault) -> void;
    auto engineOf(const Fault& fault) const -> int { return fault.target % m_fleet.engines(); }
    auto restart(int host) -> void;
    /// Starts a host that was killed, and tells it within milliseconds that its settings changed.
    auto signalEarly(const Fault& fault) -> asio::awaitable<void>;
    /// Sends to a host what uses up memory, on several connections, for the time of the fault.
    auto sendToHost(const Fault& fault) -> asio::awaitable<void>;
    auto watchHosts() -> asio::awaitable<void>;
    auto rest(framework::Milliseconds time) -> asio::awaitable<void>;

    asio::io_context& m_context;
    SoakFleet& m_fleet;
    StopRecord& m_stops;
    std::vector<Fault> m_faults;
    int m_underWay = 0;
    std::map<int, int> m_frozen; ///< faults by host
    std::map<int, int> m_down;
    std::set<int> m_rolling;
    std::map<std::pair<int, int>, int> m_cuts;
    Overlay<StoreFault> m_store;
    Overlay<StorePartsFault> m_storeParts;
    std::map<int, Overlay<EngineFault>> m_engines;
    std::map<int, Overlay<PathState>> m_enginePaths;
    std::map<int, Overlay<PathState>> m_storePaths;
    std::map<int, Overlay<PathState>> m_peerPaths;
};

} // namespace laburnummill::testing
