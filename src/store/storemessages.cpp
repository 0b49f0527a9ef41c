#include "store/storemessages.h"

namespace laburnummill::store {

namespace {

auto addressMessage(const RowAddress& address) -> peers::messages::RowAddress
{
    auto message = peers::messages::RowAddress();
    message.set_table(address.table);
    message.set_partition(address.partition);
    message.set_key(address.key);
    return message;
}

auto addressFrom(const peers::messages::RowAddress& message) -> RowAddress
{
    return {.table = message.table(), .partition = message.partition(), .key = message.key()};
}

} // namespace

auto toMessage(const Transaction& transaction) -> peers::messages::Transaction
{
    auto message = peers::messages::Transaction();
    for (const auto& condition : transaction.conditions) {
        auto* row = message.add_conditions();
        *row->mutable_address() = addressMessage(condition.address);
        row->set_version(condition.version);
    }
    for (const auto& put : transaction.puts) {
        auto* row = message.add_puts();
        *row->mutable_address() = addressMessage(put.address);
        row->set_value(put.value);
    }
    for (const auto& removal : transaction.removals) {
        *message.add_removals() = addressMessage(removal);
    }
    return message;
}

auto fromMessage(const peers::messages::Transaction& message) -> Transaction
{
    auto transaction = Transaction();
    for (const auto& row : message.conditions()) {
        transaction.conditions.push_back({.address = addressFrom(row.address()), .version = row.version()});
    }
    for (const auto& row : message.puts()) {
        transaction.puts.push_back({.address = addressFrom(row.address()), .value = row.value()});
    }
    for (const auto& address : message.removals()) {
        transaction.removals.push_back(addressFrom(address));
    }
    return transaction;
}

auto toMessage(const ListRequest& request) -> peers::messages::Listing
{
    auto message = peers::messages::Listing();
    message.set_table(request.table);
    message.set_partition(request.partition);
    message.set_from(request.from);
    message.set_to(request.to);
    message.set_limit(request.limit);
    return message;
}

auto fromMessage(const peers::messages::Listing& message) -> ListRequest
{
    return {
        .table = message.table(), .partition = message.partition(), .from = message.from(), .to = message.to(), .limit = message.limit()};
}

auto toMessage(const Row& row) -> peers::messages::Row
{
    auto message = peers::messages::Row();
    *message.mutable_address() = addressMessage(row.address);
    message.set_value(row.value);
    message.set_version(row.version);
    message.set_is_removed(row.isRemoved);
    return message;
}

auto fromMessage(const peers::messages::Row& message) -> Row
{
    return {.address = addressFrom(message.address()),
            .value = message.value(),
            .version = message.version(),
            .isRemoved = message.is_removed()};
}

} // namespace laburnummill::store
