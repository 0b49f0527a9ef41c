#pragma once

#include "framework/global/json.h"
#include "framework/global/result.h"
#include "questionnaire/questionnaireerrors.h"

#include <string>
#include <vector>

namespace laburnummill::questionnaire {

/// A wrong or contradictory answer and the question it belongs to.
struct AnswerFault
{
    std::string question;  ///< key of the question
    std::size_t entry = 0; ///< from 1; 0 for the question as a whole
    std::string field;
    std::string description;

    auto operator==(const AnswerFault&) const -> bool = default;
};

using AnswerFaults = std::vector<AnswerFault>;

/// "clientAccounts, entry 2, burst: ..."
auto describe(const AnswerFault& fault) -> std::string;

/// The configuration that follows from `answers`; the same one for the same answers.
/// AnswersInvalid with every fault where they are wrong or contradict each other.
auto configurationFromAnswers(const framework::Json& answers, AnswerFaults& faults) -> framework::Result<framework::Json>;

} // namespace laburnummill::questionnaire
