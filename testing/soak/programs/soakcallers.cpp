#include "testing/soak/programs/soakcallers.h"

namespace laburnummill::testing {

using calls::CallAnswer;
using calls::CallFailure;
using framework::Json;
using programs::ProgramCall;

namespace {

constexpr auto s_patience = framework::Milliseconds(8'000);

auto questionOf(const std::string& program, std::uint32_t turn) -> std::string
{
    return "question " + program + " " + std::to_string(turn);
}

auto answerPrefixOf(const std::string& program, std::uint32_t turn) -> std::string
{
    return "answer " + program + " " + std::to_string(turn) + " ";
}

auto describe(const std::string& what, const std::string& program, std::uint32_t turn) -> std::string
{
    return what + ": " + program + " turn " + std::to_string(turn);
}

} // namespace

auto SoakCaller::nextTurn() const -> std::uint32_t
{
    auto turn = std::uint32_t{1};
    while (answers.contains(turn)) {
        ++turn;
    }
    return turn;
}

SoakCallers::SoakCallers(Report report)
    : m_report(std::move(report))
{}

auto SoakCallers::add(const std::string& program) -> SoakCaller&
{
    auto& caller = m_callers[program];
    caller.program = program;
    return caller;
}

auto SoakCallers::callOf(const std::string& program, std::uint32_t turn) -> ProgramCall
{
    const auto message = Json{{"role", "user"}, {"content", questionOf(program, turn)}};
    const auto body = Json{{"messages", Json::array({message})}, {"max_tokens", 16}};
    return {"account", program, "call-" + std::to_string(turn), turn, "assistant", framework::dumpJson(body), s_patience};
}

auto SoakCallers::checkRun(const ProgramCall& call) -> void
{
    const auto body = framework::parseJson(call.body).value_or(Json::object());
    const auto messages = body.value("messages", Json::array());
    if (messages.size() != std::size_t{2} * call.turn - 1) {
        m_report(describe("a run without its whole history", call.program, call.turn));
        return;
    }
    const auto& answers = m_callers.at(call.program).answers;
    for (auto turn = std::uint32_t{1}; turn <= call.turn; ++turn) {
        const auto index = std::size_t{2} * (turn - 1);
        if (framework::stringAt(messages[index], "content") != questionOf(call.program, turn)) {
            m_report(describe("a run with another question in its history", call.program, call.turn));
        }
        if (turn == call.turn) {
            continue;
        }
        const auto reply = framework::stringAt(messages[index + 1], "content");
        const auto known = answers.find(turn);
        if (!reply.starts_with(answerPrefixOf(call.program, turn)) || (known != answers.end() && known->second != reply)) {
            m_report(describe("a run with another answer in its history", call.program, call.turn));
        }
    }
}

auto SoakCallers::take(const std::string& program, std::uint32_t turn, const calls::CallOutcome& outcome, bool ranThere) -> void
{
    auto& caller = m_callers.at(program);
    if (const auto* answer = std::get_if<CallAnswer>(&outcome)) {
        ++m_answered;
        m_held += answer->held ? 1 : 0;
        const auto [known, isFirst] = caller.answers.emplace(turn, answer->body);
        if (!isFirst && known->second != answer->body) {
            m_report(describe("a repeated call got another answer", program, turn));
        }
        if (!answer->body.starts_with(answerPrefixOf(program, turn))) {
            m_report(describe("an answer to another request", program, turn));
        }
        return;
    }
    const auto& failure = std::get<CallFailure>(outcome);
    ++m_refused[failure.code];
    if (failure.ran == calls::Ran::No && ranThere) {
        m_report(describe("a refusal says not run of a call that ran", program, turn));
    }
    if (failure.code.starts_with("budget_")) {
        caller.spent = true;
    }
    const auto isFalse = failure.code == "turn_passed" || failure.code == "program_unknown" || failure.code == "history_broken" ||
                         (failure.code == "program_ended" && !caller.ending && !m_callers.at(programs::rootOf(program)).ending);
    if (isFalse) {
        m_report(describe("a refusal without ground, " + failure.code, program, turn));
    }
}

auto SoakCallers::checkStored(const std::string& program, const programs::ProgramRow& row, const std::vector<std::string>& lines) -> void
{
    const auto chain = programs::chainFrom(program, lines, row.turns, row.head);
    if (!chain) {
        m_report(describe("a stored history that is not whole", program, row.turns));
        return;
    }
    for (const auto& [turn, body] : m_callers.at(program).answers) {
        if (turn > row.turns) {
            m_report(describe("an answered turn is lost", program, turn));
        } else if (chain.value()[turn - 1].record.answer.body != body) {
            m_report(describe("an answered turn is stored otherwise", program, turn));
        }
    }
}

} // namespace laburnummill::testing
