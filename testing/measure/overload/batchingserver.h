#pragma once

#include "framework/global/time.h"

#include <cstdint>
#include <deque>
#include <vector>

namespace laburnummill::testing {

/// A model engine on virtual time. It runs as many turns at once as it has slots, each of them more slowly the more run, and takes
/// further ones in order of arrival.
class BatchingServer
{
public:
    BatchingServer(int slots, double slowness)
        : m_slots(slots)
        , m_slowness(slowness)
    {}

    /// `workMs`: how long the turn takes if it runs alone on a server of slowness 1.
    auto add(std::uint64_t turn, double workMs) -> void;

    /// Removes a turn whose caller has left.
    auto remove(std::uint64_t turn) -> void;

    /// Works for `step`. Returns the turns that have ended.
    auto advance(framework::Milliseconds step) -> std::vector<std::uint64_t>;

    auto setSlowness(double slowness) -> void { m_slowness = slowness; }

    /// Work that a full server of slowness 1 completes per millisecond, in milliseconds.
    static auto fullRate(int slots) -> double;

private:
    struct Turn
    {
        std::uint64_t number;
        double workMs;
    };

    int m_slots;
    double m_slowness;
    std::vector<Turn> m_running;
    std::deque<Turn> m_waiting;
};

} // namespace laburnummill::testing
