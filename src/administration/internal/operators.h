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

/// Operators and their keys, one platform table row each. While the platform is unavailable, a key stays valid if it was valid when
/// this host last read its row.
class Operators
{
public:
    /// `firstKeyHash` is the hash of a key with the administrator role and access to all teams. It needs no table row, so that the first
    /// operator keys can be issued with it.
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
