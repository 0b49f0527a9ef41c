#pragma once

#include "administration/administrationerrors.h"
#include "administration/operatortypes.h"
#include "framework/global/async.h"
#include "platform/itableservice.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace laburnummill::administration {

/// Operators and their keys, one row of the platform each. While the platform is down, those last read are valid.
class Operators
{
public:
    /// `firstKeyHash` belongs to an administrator of all teams who is in no row, so that the first keys can be given.
    Operators(std::shared_ptr<platform::ITableService> tables, std::string firstKeyHash);

    auto authenticate(std::string key) -> framework::AsyncResult<OperatorEntry>;
    auto list() -> framework::AsyncResult<std::vector<OperatorEntry>>;
    auto issue(OperatorEntry entry) -> framework::AsyncResult<void>;
    auto withdraw(std::string keyHash) -> framework::AsyncResult<void>;

private:
    std::shared_ptr<platform::ITableService> m_tables;
    std::string m_firstKeyHash;
    std::map<std::string, OperatorEntry> m_cachedEntries;
};

} // namespace laburnummill::administration
