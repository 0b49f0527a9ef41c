#pragma once

#include "programs/turn.h"
#include "programs/turnrecords.pb.h"
#include "store/storetypes.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::programs {

/// The entry of a host in a program's row, as written to another partition while that of the row was away. Each write is a row of its own:
/// one without an answer that takes effect late cannot replace a later one.
struct GrantRow
{
    ProgramKey key;
    std::uint64_t budget = 0;
    records::Holding holding;
    std::uint64_t writtenAt = 0; ///< Unix milliseconds
    store::RowAddress address;
};

/// `partition`: in which the row is to stand.
auto grantRowAddress(const ProgramKey& key, const records::Holding& holding, std::uint32_t partition) -> store::RowAddress;

auto encodeGrantRow(const GrantRow& grant) -> store::Put;

/// Returns nullopt if the row cannot be read.
auto decodeGrantRow(const store::Row& row) -> std::optional<GrantRow>;

/// All grants in a partition.
auto grantRowsIn(std::uint32_t partition) -> store::ListRequest;

/// What is known of one incarnation of a host by rows in other partitions.
struct EntryElsewhere
{
    records::Holding holding;              ///< of the latest write
    std::uint64_t writtenAt = 0;           ///< Unix milliseconds
    std::vector<store::RowAddress> rows{}; ///< of all writes

    auto add(const GrantRow& grant) -> void;
};

} // namespace laburnummill::programs
