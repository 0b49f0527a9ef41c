#include "programs/grantrows.h"

#include "framework/global/digest.h"

#include <fmt/format.h>

namespace laburnummill::programs {

namespace {

constexpr auto s_table = "grants";
constexpr auto s_format = std::uint32_t{1};
constexpr auto s_rowsPerPage = 500;

} // namespace

auto grantRowAddress(const ProgramKey& key, const records::Holding& holding, std::uint32_t partition) -> store::RowAddress
{
    const auto program = framework::hash64(key.program, framework::hash64(key.account));
    const auto host = framework::hash64(holding.host(), holding.incarnation());
    return {.table = s_table,
            .partition = partitionName(partition),
            .key = fmt::format("{:016x}-{:016x}-{:x}", program, host, holding.write())};
}

auto encodeGrantRow(const GrantRow& grant) -> store::Put
{
    auto record = records::GrantRecord();
    record.set_format(s_format);
    record.set_account(grant.key.account);
    record.set_program(grant.key.program);
    record.set_budget(grant.budget);
    *record.mutable_holding() = grant.holding;
    record.set_written_at(grant.writtenAt);
    return {.address = grant.address, .value = record.SerializeAsString()};
}

auto decodeGrantRow(const store::Row& row) -> std::optional<GrantRow>
{
    auto record = records::GrantRecord();
    if (!record.ParseFromString(row.value) || record.format() != s_format || record.program().empty()) {
        return std::nullopt;
    }
    return GrantRow{.key = {.account = record.account(), .program = record.program()},
                    .budget = record.budget(),
                    .holding = record.holding(),
                    .writtenAt = record.written_at(),
                    .address = row.address};
}

auto grantRowsIn(std::uint32_t partition) -> store::ListRequest
{
    return {.table = s_table, .partition = partitionName(partition), .from = {}, .to = {}, .limit = s_rowsPerPage};
}

auto EntryElsewhere::add(const GrantRow& grant) -> void
{
    rows.push_back(grant.address);
    if (rows.size() == 1 || grant.holding.write() > holding.write()) {
        holding = grant.holding;
        writtenAt = grant.writtenAt;
    }
}

} // namespace laburnummill::programs
