#include "accounts/internal/accountplacement.h"

#include "framework/global/digest.h"

#include <algorithm>
#include <cmath>

namespace laburnummill::accounts {

namespace {

auto rank(const std::string& account, std::vector<std::string> dataCentres) -> std::vector<std::string>
{
    const auto seed = framework::hash64(account);
    std::ranges::sort(dataCentres, std::greater<>(), [seed](const auto& name) { return framework::hash64(name, seed); });
    return dataCentres;
}

} // namespace

AccountPlacement::AccountPlacement(DataCentreSet dataCentres)
    : m_dataCentres(std::move(dataCentres))
{
    //! NOTE If all data centres are drained, accounts still need a home to check their limits.
    if (m_dataCentres.active.empty()) {
        m_dataCentres.active = m_dataCentres.all;
    }
}

auto AccountPlacement::home(const std::string& account) const -> const std::string&
{
    const auto found = m_homes.find(account);
    if (found != m_homes.end()) {
        return found->second;
    }
    return m_homes.emplace(account, rank(account, m_dataCentres.active).front()).first->second;
}

auto AccountPlacement::share(const std::string& account, const std::string& dataCentre, double burst) const -> double
{
    const auto order = rank(account, m_dataCentres.all);
    const auto found = std::ranges::find(order, dataCentre);
    if (found == order.end()) {
        return 0;
    }
    //! NOTE A bucket with less than one token of burst would never grant a token, so shares are whole tokens and the first
    //! data centres in rank get the remainder.
    const auto units = std::max(1.0, std::floor(burst));
    const auto each = std::floor(units / static_cast<double>(order.size()));
    const auto remainder = units - each * static_cast<double>(order.size());
    const auto position = static_cast<double>(found - order.begin());
    return (each + (position < remainder ? 1.0 : 0.0)) / units;
}

} // namespace laburnummill::accounts
