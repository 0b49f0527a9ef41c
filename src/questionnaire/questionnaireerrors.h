#pragma once

#include <system_error>

namespace laburnummill::questionnaire {

/// Failures of turning answers into a configuration.
enum class QuestionnaireError
{
    AnswersInvalid = 1, ///< the faults name the questions
    InputEnded,         ///< the terminal ended before the last question
};

auto make_error_code(QuestionnaireError error) -> std::error_code; // NOLINT(readability-identifier-naming)

} // namespace laburnummill::questionnaire

template<>
struct std::is_error_code_enum<laburnummill::questionnaire::QuestionnaireError> : std::true_type
{};
