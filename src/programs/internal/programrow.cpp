#include "programs/internal/programrow.h"

#include <algorithm>

namespace laburnummill::programs {

using framework::Json;

auto rowKeyOf(const std::string& program) -> platform::RowKey
{
    return {"programs", program};
}

auto toText(const ProgramRow& row) -> std::string
{
    return framework::dumpJson({{"account", row.account},
                                {"owner", row.owner},
                                {"fencing", row.fencing},
                                {"turns", row.turns},
                                {"tokens", row.tokens},
                                {"familyTurns", row.familyTurns},
                                {"familyTokens", row.familyTokens},
                                {"startedAtMs", row.startedAtMs},
                                {"lastAtMs", row.lastAtMs},
                                {"ended", row.ended},
                                {"head", row.head},
                                {"batches", row.batches}});
}

auto rowFromText(const std::string& text) -> ProgramRow
{
    const auto document = framework::parseJson(text).value_or(Json::object());
    const auto number = [&document](const char* key) { return static_cast<std::uint64_t>(framework::integerAt(document, key)); };
    auto row = ProgramRow();
    row.account = framework::stringAt(document, "account");
    row.owner = framework::stringAt(document, "owner");
    row.fencing = number("fencing");
    row.turns = static_cast<std::uint32_t>(number("turns"));
    row.tokens = number("tokens");
    row.familyTurns = static_cast<std::uint32_t>(number("familyTurns"));
    row.familyTokens = number("familyTokens");
    row.startedAtMs = number("startedAtMs");
    row.lastAtMs = number("lastAtMs");
    row.ended = framework::boolAt(document, "ended");
    row.head = framework::stringAt(document, "head");
    row.batches = document.value("batches", std::vector<std::string>());
    return row;
}

auto rootOf(const std::string& program) -> std::string
{
    const auto first = program.find('.');
    const auto second = first == std::string::npos ? first : program.find('.', first + 1);
    return program.substr(0, second);
}

auto append(ProgramRow& row, const ChainLink& link, const std::string& batch) -> void
{
    row.turns = link.record.turn;
    row.tokens += tokensOf(link.record);
    row.lastAtMs = std::max(row.lastAtMs, link.record.atMs);
    row.head = link.digest;
    if (row.batches.empty() || row.batches.back() != batch) {
        row.batches.push_back(batch);
    }
}

auto isFinished(const ProgramRow& row, std::uint64_t wallMs, std::uint64_t expiryMs) -> bool
{
    return row.ended || wallMs > row.lastAtMs + expiryMs;
}

} // namespace laburnummill::programs
