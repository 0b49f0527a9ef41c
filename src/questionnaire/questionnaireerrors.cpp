#include "questionnaire/questionnaireerrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::questionnaire {

namespace {

using framework::ErrorRow;
using framework::FailureKind;

constexpr auto s_rows = std::to_array<ErrorRow<QuestionnaireError>>({
    {QuestionnaireError::AnswersInvalid, "answers_invalid", "the answers are wrong or contradict each other", FailureKind::BadRequest},
    {QuestionnaireError::InputEnded, "input_ended", "the input ended before the last question", FailureKind::BadRequest},
});

} // namespace

auto make_error_code(QuestionnaireError error) -> std::error_code
{
    static const auto category = framework::EnumCategory<QuestionnaireError>("questionnaire", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::questionnaire
