#pragma once

#include "framework/global/async.h"
#include "framework/global/time.h"

#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::gossip {

/// Whether a data centre has a version in force.
enum class ConfirmationState
{
    Confirmed,   ///< each host that is alive there
    Partial,     ///< hosts answer, but some have not confirmed yet
    Unreachable, ///< none of its hosts is heard
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

/// Which data centres have a version of a document in force, for the answers to operators.
class IConfirmations
{
public:
    static constexpr std::string_view s_serviceName = "gossip.confirmations";

    virtual ~IConfirmations() = default;

    /// As heard up to now, one entry for each of `dataCentres` in their order.
    virtual auto state(std::string_view document, std::uint64_t version, const std::vector<std::string>& dataCentres) const
        -> std::vector<DataCentreConfirmation> = 0;

    /// The same as soon as all have confirmed, at the latest after `timeout`.
    virtual auto wait(std::string document, std::uint64_t version, std::vector<std::string> dataCentres, framework::Milliseconds timeout)
        -> framework::Async<std::vector<DataCentreConfirmation>> = 0;
};

/// When something outside this host's data centre was last heard of.
class IExternalContact
{
public:
    static constexpr std::string_view s_serviceName = "gossip.contact";

    virtual ~IExternalContact() = default;

    /// The platform has just answered.
    virtual auto recordContact() -> void = 0;

    /// Since the platform or another data centre was heard, here or by a peer of the data centre.
    virtual auto contactAge() const -> framework::Milliseconds = 0;
};

} // namespace laburnummill::gossip
