#pragma once

#include "questionnaire/answers.h"

namespace laburnummill::questionnaire {

/// Faults of single answers: missing, of the wrong kind, unknown.
auto checkFields(const framework::Json& answers) -> AnswerFaults;

/// Faults between answers: names that refer to nothing or stand twice, kinds that contradict each other.
auto checkContradictions(const framework::Json& answers) -> AnswerFaults;

} // namespace laburnummill::questionnaire
