#pragma once

#include "accounts/internal/limitgroup.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// Mechanisms that a test can break to see the invariant trip.
enum class LimitBreakage
{
    None,
    LenderForgets,    ///< a lender uses its share while it is lent
    NoDriftAllowance, ///< lender and borrower count the term alike
    SuccessorKnows,   ///< a new owner takes itself to have lent nothing
};

struct LimitFleetOptions
{
    std::size_t dataCentres = 3;
    std::size_t accounts = 4;
    double faultsPerSecond = 0.5; ///< partitions, deaths, hand-overs, pauses
    double callsPerRate = 2.0;    ///< calls relative to the accounts' rates
    double maxRatePerSecond = 20; ///< of an account
    bool conforming = false;      ///< callers stay within rate and burst
    framework::Milliseconds term = accounts::GrantTerms().term;
    LimitBreakage breakage = LimitBreakage::None;
};

struct LimitCounts
{
    std::uint64_t calls = 0;
    std::uint64_t granted = 0;
    std::uint64_t refused = 0;
    std::uint64_t refusedWithinRate = 0;
    std::uint64_t overLimit = 0; ///< accepted above rate and burst in some window
    std::uint64_t messages = 0;  ///< between data centres, loans included
};

/// Groups of limits in several data centres on virtual time, with clocks that drift, lost messages and new owners.
class LimitFleet
{
public:
    LimitFleet(std::uint64_t seed, LimitFleetOptions options);

    /// Advances by one step of virtual time; false where the invariant is violated.
    auto step() -> bool;

    auto counts() const -> const LimitCounts& { return m_counts; }
    /// Forgets what was counted so far.
    auto resetCounts() -> void { m_counts = LimitCounts(); }

    auto lastEvents() const -> const std::deque<std::string>& { return m_events; }
    auto seconds() const -> double;

    /// Cuts a data centre off, or joins it again.
    auto setCutOff(std::size_t dataCentre, bool cutOff) -> void { m_sites[dataCentre].cutOff = cutOff; }

private:
    struct Site
    {
        std::string name;
        std::unique_ptr<accounts::LimitGroup> group;
        double clockRate = 1;
        bool cutOff = false;
    };

    /// The exact bucket of the whole fleet, by true time.
    struct Reference
    {
        double tokens = 0;
        framework::Instant at{};
    };

    auto localTime(const Site& site) const -> framework::Instant;
    auto holders() const -> accounts::DataCentreSet;
    auto startGroup(Site& site) -> void;
    auto renewGrants(Site& site) -> void;
    auto injectFault() -> void;
    auto call(std::size_t account) -> void;
    auto askAll(Site& site, const std::string& account) -> bool;
    auto accept(std::size_t account) -> void;
    auto fill(Reference& reference, const accounts::AccountLimit& limit, double rateFactor) const -> void;
    auto note(std::string event) -> void;
    auto chance(double probability) -> bool;

    std::mt19937_64 m_random;
    LimitFleetOptions m_options;
    accounts::GrantTerms m_terms;
    framework::Instant m_now{};
    std::vector<Site> m_sites;
    std::vector<accounts::AccountLimit> m_limits;
    std::vector<Reference> m_accepted; ///< tokens left of what may be accepted; below zero is a violation
    std::vector<Reference> m_offered;  ///< tokens left of what a conforming caller may send
    LimitCounts m_counts;
    std::deque<std::string> m_events;
};

} // namespace laburnummill::testing
