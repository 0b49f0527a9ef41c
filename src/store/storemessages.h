#pragma once

#include "peers/fleetmessages.pb.h"
#include "store/storetypes.h"

#include <system_error>

namespace laburnummill::store {

/// Calls to the store as they go to another host, and back.
auto toMessage(const Transaction& transaction) -> peers::messages::Transaction;
auto fromMessage(const peers::messages::Transaction& message) -> Transaction;
auto toMessage(const ListRequest& request) -> peers::messages::Listing;
auto fromMessage(const peers::messages::Listing& message) -> ListRequest;
auto toMessage(const Row& row) -> peers::messages::Row;
auto fromMessage(const peers::messages::Row& message) -> Row;

} // namespace laburnummill::store
