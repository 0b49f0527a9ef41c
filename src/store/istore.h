#pragma once

#include "framework/global/async.h"
#include "store/storeerrors.h"
#include "store/storetypes.h"

namespace laburnummill::store {

/// The platform's transactional store of rows. Every call has a timeout of its own.
class IStore
{
public:
    virtual ~IStore() = default;

    /// Applies all writes or none. Fails with OutcomeUnknown where the answer was lost.
    virtual auto transact(Transaction transaction) -> framework::AsyncResult<TransactionReply> = 0;

    virtual auto list(ListRequest request) -> framework::AsyncResult<RowPage> = 0;
};

/// The store's feed of changes.
class IChangeFeed
{
public:
    virtual ~IChangeFeed() = default;

    /// Changed rows in order; fails with HistoryGone where the table has to be read whole.
    virtual auto changes(ChangesRequest request) -> framework::AsyncResult<RowPage> = 0;
};

} // namespace laburnummill::store
