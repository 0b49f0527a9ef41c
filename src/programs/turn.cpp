#include "programs/turn.h"

#include "framework/global/digest.h"
#include "programs/turnrecords.pb.h"

namespace laburnummill::programs {

namespace {

/// Incremented when the meaning of a field changes; older releases then reject such rows.
constexpr auto s_format = std::uint32_t{1};

/// Approximate memory use of a turn in addition to its texts.
constexpr auto s_overheadBytes = std::size_t{400};

auto bytesOf(const Turn& turn) -> std::size_t
{
    return s_overheadBytes + turn.input.size() + turn.output.size() + turn.ancestors.size() * 48;
}

} // namespace

auto partitionOf(const ProgramKey& key) -> std::uint32_t
{
    return static_cast<std::uint32_t>(framework::hash64(key.program, framework::hash64(key.account)) % s_partitionCount);
}

auto partitionOfTurn(const Turn& turn) -> std::uint32_t
{
    return partitionOf(ProgramKey{.account = turn.account, .program = turn.program});
}

auto partitionName(std::uint32_t partition) -> std::string
{
    return "programs-" + std::to_string(partition);
}

auto turnRow(const std::string& id, std::uint32_t partition) -> store::RowAddress
{
    return {.table = "turns", .partition = partitionName(partition), .key = id};
}

auto encodeTurn(const Turn& turn) -> std::string
{
    auto record = records::TurnRecord();
    record.set_format(s_format);
    record.set_id(turn.id);
    record.set_account(turn.account);
    record.set_program(turn.program);
    for (const auto& ancestor : turn.ancestors) {
        record.add_ancestors(ancestor.id);
        record.add_ancestor_partitions(ancestor.partition);
    }
    record.set_input(turn.input);
    record.set_output(turn.output);
    record.set_tokens(static_cast<std::uint32_t>(turn.tokens));
    record.set_backend(turn.backend);
    return record.SerializeAsString();
}

auto decodeTurn(std::string_view bytes) -> TurnPtr
{
    auto record = records::TurnRecord();
    if (!record.ParseFromArray(bytes.data(), static_cast<int>(bytes.size())) || record.format() != s_format || record.id().empty() ||
        record.ancestors_size() != record.ancestor_partitions_size()) {
        return nullptr;
    }
    auto turn = std::make_shared<Turn>();
    turn->id = record.id();
    turn->account = record.account();
    turn->program = record.program();
    for (auto index = 0; index < record.ancestors_size() && index < record.ancestor_partitions_size(); ++index) {
        turn->ancestors.push_back({.id = record.ancestors(index), .partition = record.ancestor_partitions(index)});
    }
    turn->input = record.input();
    turn->output = record.output();
    turn->tokens = static_cast<int>(record.tokens());
    turn->backend = record.backend();
    return turn;
}

TurnCache::TurnCache(std::size_t byteLimit)
    : m_byteLimit(byteLimit)
{}

auto TurnCache::put(TurnPtr turn) -> void
{
    const auto id = turn->id;
    if (m_turns.contains(id)) {
        return;
    }
    m_bytes += bytesOf(*turn);
    m_uses.push_front(id);
    m_turns.emplace(id, Entry{.turn = std::move(turn), .use = m_uses.begin()});
    while (m_bytes > m_byteLimit && m_uses.size() > 1) {
        const auto oldest = m_turns.find(m_uses.back());
        m_bytes -= bytesOf(*oldest->second.turn);
        m_turns.erase(oldest);
        m_uses.pop_back();
    }
}

auto TurnCache::find(std::string_view id) -> TurnPtr
{
    const auto found = m_turns.find(std::string(id));
    if (found == m_turns.end()) {
        return nullptr;
    }
    m_uses.splice(m_uses.begin(), m_uses, found->second.use);
    return found->second.turn;
}

} // namespace laburnummill::programs
