#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::gossip {

/// Whether the live hosts of a data centre have a version in force.
enum class ConfirmationState
{
    Confirmed,   ///< all live hosts have it
    Partial,     ///< some live hosts have it
    Unreachable, ///< no live host has reported it, e.g. because the data centre is unreachable
};

auto confirmationStateName(ConfirmationState state) -> std::string_view;

struct DataCentreConfirmation
{
    std::string dataCentre;
    ConfirmationState state = ConfirmationState::Unreachable;
    std::size_t hostsConfirmed = 0;
    std::size_t hostsKnown = 0;

    auto operator==(const DataCentreConfirmation&) const -> bool = default;
};

/// Reports which data centres have a version of a document in force; used for replies to operators.
class IConfirmations
{
public:
    static constexpr std::string_view s_serviceName = "gossip.confirmations";

    virtual ~IConfirmations() = default;

    /// The state by the reports received so far, one entry for each of `dataCentres` in their order.
    virtual auto state(std::string_view document, std::uint64_t version, const std::vector<std::string>& dataCentres) const
        -> std::vector<DataCentreConfirmation> = 0;

    /// Returns the state as soon as all `dataCentres` have confirmed, or after `timeout`.
    virtual auto wait(std::string document, std::uint64_t version, std::vector<std::string> dataCentres, framework::Milliseconds timeout)
        -> framework::Async<std::vector<DataCentreConfirmation>> = 0;
};

/// Tracks the last contact of this host's data centre with the platform or another data centre.
class IExternalContact
{
public:
    static constexpr std::string_view s_serviceName = "gossip.contact";

    virtual ~IExternalContact() = default;

    /// Records that the platform has just replied.
    virtual auto recordContact() -> void = 0;

    /// Time since the last contact with the platform or another data centre, by this host or a peer of its data centre.
    virtual auto contactAge() const -> framework::Milliseconds = 0;
};

} // namespace laburnummill::gossip
