#include "programs/internal/turnrecord.h"

#include "framework/global/digest.h"
#include "programs/programerrors.h"

#include <map>

namespace laburnummill::programs {

using framework::Json;
using framework::Result;

namespace {

using LinksByTurn = std::multimap<std::uint32_t, ChainLink>;

auto linksOf(const std::string& program, const std::vector<std::string>& lines) -> LinksByTurn
{
    auto links = LinksByTurn();
    for (const auto& line : lines) {
        auto record = recordFromLine(line);
        if (record && record.value().program == program) {
            const auto turn = record.value().turn;
            links.emplace(turn, ChainLink{std::move(record.value()), line, digestOf(line)});
        }
    }
    return links;
}

auto childOf(const LinksByTurn& links, std::uint32_t turn, const std::string& parent) -> const ChainLink*
{
    const auto [first, last] = links.equal_range(turn);
    for (auto position = first; position != last; ++position) {
        if (position->second.record.parent == parent) {
            return &position->second;
        }
    }
    return nullptr;
}

} // namespace

auto firstDigest(const std::string& program) -> std::string
{
    return framework::sha256Hex("program " + program);
}

auto toLine(const TurnRecord& record) -> std::string
{
    return framework::dumpJson({{"program", record.program},
                                {"turn", record.turn},
                                {"call", record.call},
                                {"parent", record.parent},
                                {"messages", record.messages},
                                {"answer", toJson(record.answer)},
                                {"atMs", record.atMs}});
}

auto digestOf(const std::string& line) -> std::string
{
    return framework::sha256Hex(line);
}

auto recordFromLine(const std::string& line) -> Result<TurnRecord>
{
    const auto document = framework::parseJson(line);
    if (!document || !document->is_object() || !document->contains("answer")) {
        return ProgramError::HistoryBroken;
    }
    auto record = TurnRecord();
    record.program = framework::stringAt(*document, "program");
    record.turn = static_cast<std::uint32_t>(framework::integerAt(*document, "turn"));
    record.call = framework::stringAt(*document, "call");
    record.parent = framework::stringAt(*document, "parent");
    record.messages = framework::stringAt(*document, "messages");
    record.answer = calls::answerFromJson((*document)["answer"]);
    record.atMs = static_cast<std::uint64_t>(framework::integerAt(*document, "atMs"));
    return record;
}

auto tokensOf(const TurnRecord& record) -> std::uint64_t
{
    return record.answer.usage.prompt + record.answer.usage.completion;
}

auto chainFrom(const std::string& program, const std::vector<std::string>& lines, std::uint32_t turns, const std::string& head)
    -> Result<std::vector<ChainLink>>
{
    const auto links = linksOf(program, lines);
    auto chain = std::vector<ChainLink>();
    auto parent = firstDigest(program);
    for (auto turn = std::uint32_t{1}; turn <= turns; ++turn) {
        const auto* link = childOf(links, turn, parent);
        if (link == nullptr) {
            return ProgramError::HistoryBroken;
        }
        parent = link->digest;
        chain.push_back(*link);
    }
    if (parent != head) {
        return ProgramError::HistoryBroken;
    }
    return chain;
}

auto continuationOf(const std::string& program, const std::vector<std::string>& lines, std::uint32_t turns, std::string head)
    -> std::vector<ChainLink>
{
    const auto links = linksOf(program, lines);
    auto chain = std::vector<ChainLink>();
    while (const auto* link = childOf(links, turns + 1, head)) {
        head = link->digest;
        ++turns;
        chain.push_back(*link);
    }
    return chain;
}

} // namespace laburnummill::programs
