#pragma once

#include "programs/internal/owneractions.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// What the callers of one program know.
struct SoakCaller
{
    std::string program;
    std::map<std::uint32_t, std::string> answers; ///< by turn, as first received
    std::uint32_t children = 0;
    std::uint64_t pumps = 0;
    bool gone = false;   ///< the caller died; nobody sends further calls
    bool ending = false; ///< the caller asked for the end
    bool ended = false;  ///< the caller asked for the end and was told that it came
    bool spent = false;  ///< a typed refusal for want of budget came

    auto nextTurn() const -> std::uint32_t;
};

/// The callers of all programs, who also judge: each answer, each refusal and each run against what was promised before.
class SoakCallers
{
public:
    using Report = std::function<void(const std::string&)>;

    explicit SoakCallers(Report report);

    auto add(const std::string& program) -> SoakCaller&;
    auto of(const std::string& program) -> SoakCaller* { return m_callers.contains(program) ? &m_callers.at(program) : nullptr; }
    auto all() -> std::map<std::string, SoakCaller>& { return m_callers; }

    static auto callOf(const std::string& program, std::uint32_t turn) -> programs::ProgramCall;

    /// Judges what a back end was sent: the whole history, nothing else's, nothing missing.
    auto checkRun(const programs::ProgramCall& call) -> void;

    /// Judges an answer to turn `turn`. `ranThere` tells whether a back end saw this very attempt.
    auto take(const std::string& program, std::uint32_t turn, const calls::CallOutcome& outcome, bool ranThere) -> void;

    /// Judges a program's chain in the store against the answers given.
    auto checkStored(const std::string& program, const programs::ProgramRow& row, const std::vector<std::string>& lines) -> void;

    auto answered() const -> std::uint64_t { return m_answered; }
    auto refused() const -> const std::map<std::string, std::uint64_t>& { return m_refused; }
    auto heldAnswers() const -> std::uint64_t { return m_held; }

private:
    Report m_report;
    std::map<std::string, SoakCaller> m_callers;
    std::map<std::string, std::uint64_t> m_refused;
    std::uint64_t m_answered = 0;
    std::uint64_t m_held = 0;
};

} // namespace laburnummill::testing
