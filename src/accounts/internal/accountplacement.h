#pragma once

#include "accounts/limittypes.h"

#include <map>
#include <string>
#include <vector>

namespace laburnummill::accounts {

/// The data centres in force and what follows from them for each account: its home and everybody's share.
class AccountPlacement
{
public:
    explicit AccountPlacement(DataCentreSet dataCentres);

    auto dataCentres() const -> const DataCentreSet& { return m_dataCentres; }

    /// The active data centre whose bucket counts for the account while all are connected (rendezvous hashing).
    auto home(const std::string& account) const -> const std::string&;

    /// The part of the account's rate and burst that is `dataCentre`'s own, in whole tokens of burst:
    /// the parts of all data centres add up to 1.
    auto share(const std::string& account, const std::string& dataCentre, double burst) const -> double;

private:
    DataCentreSet m_dataCentres;
    mutable std::map<std::string, std::string> m_homes;
};

} // namespace laburnummill::accounts
