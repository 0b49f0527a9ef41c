#pragma once

#include "framework/global/json.h"
#include "framework/global/result.h"
#include "questionnaire/questionnaireerrors.h"

#include <iosfwd>

namespace laburnummill::questionnaire {

/// Asks all questions on a terminal and yields the answers. A wrong answer is asked for again.
auto interview(std::istream& in, std::ostream& out) -> framework::Result<framework::Json>;

} // namespace laburnummill::questionnaire
