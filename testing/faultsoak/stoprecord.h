#pragma once

#include "framework/global/time.h"

#include <compare>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// What a fault disturbs.
struct Place
{
    enum class Kind
    {
        Host, ///< or one of its paths
        Store,
        Engine, ///< or the path to it
    };

    Kind kind = Kind::Host;
    int number = 0;

    auto operator<=>(const Place&) const = default;
};

/// The end of a caller's attempt whose request reached a host.
struct AttemptEnd
{
    int host = 0;
    framework::Instant sentAt{}; ///< when its last byte was sent
    framework::Instant endedAt{};
    std::set<int> engines; ///< backend servers that began it
    bool hasBegun = false; ///< bytes of an answer arrived
    bool isWhole = false;
};

/// Planned stops of hosts and unplanned faults beside them: tells whether a stop cut off a request.
class StopRecord
{
public:
    /// `gracePeriod`: time from the request to stop until a host is killed.
    explicit StopRecord(framework::Milliseconds gracePeriod);

    auto stopBegan(int host, framework::Instant now) -> void;
    auto stopEnded(int host, framework::Instant now) -> void;

    /// Faults at one place may overlap; each one that began ends once.
    auto faultBegan(Place place, framework::Instant now) -> void;
    auto faultEnded(Place place, framework::Instant now) -> void;

    /// Why the end of an attempt breaks the promise of a graceful stop; none if it does not.
    auto failureOf(const AttemptEnd& end) -> std::optional<std::string>;

    /// A host's process ended by the default action of the signal, before it had entered its main function.
    auto endedBeforeMain() -> void { ++m_endsBeforeMain; }
    auto endsBeforeMain() const -> int { return m_endsBeforeMain; }

    /// Stops that began.
    auto stops() const -> int { return m_stopCount; }

    /// What failureOf() would have said of requests that a stop cut off beside an unplanned fault.
    auto excused() const -> const std::vector<std::string>& { return m_excused; }

private:
    struct Span
    {
        framework::Instant from{};
        std::optional<framework::Instant> to;
    };

    struct Disturbance
    {
        int underWay = 0;
        std::vector<Span> spans;
    };

    auto stopAround(const AttemptEnd& end) const -> const Span*;
    auto isDisturbed(Place place, const AttemptEnd& end) const -> bool;
    auto isExcused(const AttemptEnd& end) const -> bool;
    auto usedUpGrace(const AttemptEnd& end, framework::Instant askedAt) const -> bool;

    framework::Milliseconds m_gracePeriod;
    std::map<int, std::vector<Span>> m_stops;
    std::map<Place, Disturbance> m_disturbances;
    int m_stopCount = 0;
    int m_endsBeforeMain = 0;
    std::vector<std::string> m_excused;
};

} // namespace laburnummill::testing
