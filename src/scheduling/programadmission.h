#pragma once

#include "framework/global/time.h"
#include "scheduling/fairshares.h"
#include "scheduling/turnstretch.h"

#include <map>
#include <string_view>

namespace laburnummill::scheduling {

/// What this host knows of the load of a service's engines.
struct ServiceLoad
{
    double load = 0;    ///< requests of all hosts in progress over the slots of the engines that can be used
    StretchSum stretch; ///< of the recent turns of all hosts
};

/// The decision on one program.
struct AdmissionDecision
{
    bool isAdmitted = true;
    double share = 1;                      ///< of the programs of this account and priority that are admitted
    framework::Milliseconds retryAfter{0}; ///< if it is not admitted
};

/// Decides which new programs of one service begin when its engines cannot serve all of them.
///
/// The share of programs that are admitted is steered so that the load stays at a target, and the target so that turns take no longer than
/// programs can bear within their objectives. Programs in progress are always served. Less urgent programs are refused first, but never
/// all of them. A program meets the same decision on all hosts with the same knowledge, whenever it asks again while the share stays.
class ProgramAdmission
{
public:
    ProgramAdmission();

    /// Takes the present load; to be called several times a second. `lowestPriority` is that of the service's least urgent programs.
    auto update(const ServiceLoad& load, int lowestPriority, framework::Instant now) -> void;

    /// Takes the work that the client accounts ask for.
    auto setDemands(AccountDemands demands) -> void { m_demands = std::move(demands); }

    auto decide(std::string_view program, std::uint32_t account, int priority) const -> AdmissionDecision;

    /// Share of all programs of this priority that are admitted.
    auto share(int priority) const -> double;
    auto isSelective() const -> bool;
    auto targetLoad() const -> double { return m_targetLoad; }
    auto load() const -> const ServiceLoad& { return m_load; }

private:
    struct Level
    {
        double integral = 0; ///< logarithm of the share, without the part that follows the load at once
        double share = 1;
    };

    auto levelTarget(int priority) const -> double;

    ServiceLoad m_load;
    AccountDemands m_demands;
    int m_lowestPriority = 0;
    double m_targetLoad;
    std::map<int, Level> m_levels; ///< by priority
    framework::Instant m_updatedAt{};
};

} // namespace laburnummill::scheduling
