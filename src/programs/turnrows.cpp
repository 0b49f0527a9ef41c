#include "programs/turnrows.h"

#include "framework/global/digest.h"
#include "programs/turnrecords.pb.h"
#include "store/callsize.h"

#include <fmt/format.h>

#include <algorithm>

namespace laburnummill::programs {

namespace {

/// Differs from the format of TurnRecord, which earlier releases expect in each row.
constexpr auto s_dividedFormat = std::uint32_t{2};

constexpr auto s_partsTable = "turnparts";

/// Sorts before all characters of ids.
constexpr auto s_partSeparator = ' ';

/// The limit on a row may apply to its value or to the Base64 text of that, which is four thirds as long.
constexpr auto s_usableRowShare = 0.75;

auto partKey(const std::string& id, std::size_t number) -> std::string
{
    return fmt::format("{}{}{:06}", id, s_partSeparator, number);
}

} // namespace

auto isStorableId(std::string_view id) -> bool
{
    const auto isPrintable = [](char character) { return character > ' ' && character <= '~'; };
    return id.size() <= s_maxIdBytes && std::ranges::all_of(id, isPrintable);
}

auto rowsOf(const Turn& turn, const std::string& record, std::size_t rowBytes, std::uint32_t partition) -> TurnRows
{
    const auto usable = std::max<std::size_t>(static_cast<std::size_t>(static_cast<double>(rowBytes) * s_usableRowShare), 1);
    if (record.size() <= usable) {
        return {.parts = {}, .head = {.address = turnRow(turn.id, partition), .value = record}};
    }
    auto rows = TurnRows();
    for (auto start = std::size_t{0}; start < record.size(); start += usable) {
        rows.parts.push_back(
            {.address = {.table = s_partsTable, .partition = partitionName(partition), .key = partKey(turn.id, rows.parts.size())},
             .value = record.substr(start, usable)});
    }
    auto head = records::DividedTurn();
    head.set_format(s_dividedFormat);
    head.set_id(turn.id);
    head.set_parts(static_cast<std::uint32_t>(rows.parts.size()));
    head.set_digest(framework::hash64(record));
    rows.head = {.address = turnRow(turn.id, partition), .value = head.SerializeAsString()};
    return rows;
}

auto decodeDividedHead(std::string_view bytes) -> std::optional<DividedTurnHead>
{
    auto head = records::DividedTurn();
    if (!head.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || head.format() != s_dividedFormat) {
        return std::nullopt;
    }
    return DividedTurnHead{.parts = head.parts(), .digest = head.digest()};
}

auto partsOf(const std::string& id, std::uint32_t partition) -> store::ListRequest
{
    constexpr auto afterSeparator = static_cast<char>(s_partSeparator + 1);
    return {.table = s_partsTable, .partition = partitionName(partition), .from = id + s_partSeparator, .to = id + afterSeparator};
}

auto joinParts(const DividedTurnHead& head, const std::vector<store::Row>& parts) -> TurnPtr
{
    if (parts.size() != head.parts) {
        return nullptr;
    }
    auto record = std::string();
    for (const auto& part : parts) {
        record += part.value;
    }
    return framework::hash64(record) == head.digest ? decodeTurn(record) : nullptr;
}

auto transactionsOf(const std::vector<store::Put>& parts) -> std::vector<store::Transaction>
{
    auto transactions = std::vector<store::Transaction>();
    auto size = store::CallSize();
    for (const auto& part : parts) {
        const auto bytes = store::CallSize::bytesOf(part.value.size());
        if (transactions.empty() || !size.fits(bytes, 1)) {
            transactions.emplace_back();
            size = store::CallSize();
        }
        size.add(bytes, 1);
        transactions.back().puts.push_back(part);
    }
    return transactions;
}

} // namespace laburnummill::programs
