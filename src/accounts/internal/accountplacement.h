#pragma once

#include "accounts/limittypes.h"

#include <map>
#include <string>
#include <vector>

namespace laburnummill::accounts {

/// Determines each account's home data centre and the share of every data centre, for one configuration of data centres.
class AccountPlacement
{
public:
    explicit AccountPlacement(DataCentreSet dataCentres);

    auto dataCentres() const -> const DataCentreSet& { return m_dataCentres; }

    /// Returns the account's home: the active data centre whose bucket decides for the whole fleet while all data centres are
    /// connected. Chosen by rendezvous hashing.
    auto home(const std::string& account) const -> const std::string&;

    /// Returns the fraction of the account's rate and burst that `dataCentre` owns, in whole tokens of burst; 0 for an unknown
    /// data centre. The fractions of all data centres add up to 1.
    auto share(const std::string& account, const std::string& dataCentre, double burst) const -> double;

private:
    DataCentreSet m_dataCentres;
    mutable std::map<std::string, std::string> m_homes;
};

} // namespace laburnummill::accounts
