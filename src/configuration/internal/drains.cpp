#include "configuration/internal/drains.h"

#include "configuration/configurationcodec.h"

#include <algorithm>

namespace laburnummill::configuration {

using framework::AsyncResult;
using framework::Result;

namespace {

constexpr auto s_maxAttempts = 8;

/// Sets the `drained` flag of the item with this name; returns true if it has changed.
template<class Item>
auto setDrained(std::vector<Item>& items, const std::string& name, DrainState state, ConfigurationError unknown) -> Result<bool>
{
    const auto item = std::ranges::find(items, name, &Item::name);
    if (item == items.end()) {
        return unknown;
    }
    const auto drained = state == DrainState::Drained;
    const auto isChanged = item->drained != drained;
    item->drained = drained;
    return isChanged;
}

} // namespace

auto Drains::setDataCentre(std::string name, DrainState state) -> AsyncResult<std::uint64_t>
{
    return change([name = std::move(name), state](Configuration& configuration) {
        return setDrained(configuration.dataCentres, name, state, ConfigurationError::DataCentreUnknown);
    });
}

auto Drains::setBackendServer(std::string name, DrainState state) -> AsyncResult<std::uint64_t>
{
    return change([name = std::move(name), state](Configuration& configuration) {
        return setDrained(configuration.backendServers, name, state, ConfigurationError::BackendServerUnknown);
    });
}

auto Drains::change(Edit edit) -> AsyncResult<std::uint64_t>
{
    for (auto attempt = 0; attempt < s_maxAttempts; ++attempt) {
        BOOST_OUTCOME_CO_TRYV(co_await m_manager->refresh());
        const auto current = m_manager->current();
        if (!current) {
            co_return ConfigurationError::NoneKnown;
        }
        auto changed = *current;
        BOOST_OUTCOME_CO_TRY(const auto isChanged, edit(changed));
        if (!isChanged) {
            co_return current->version;
        }
        const auto applied = co_await m_manager->apply(toJson(changed), current->version);
        if (applied || applied.error() != ConfigurationError::VersionConflict) {
            co_return applied;
        }
    }
    co_return ConfigurationError::VersionConflict;
}

} // namespace laburnummill::configuration
