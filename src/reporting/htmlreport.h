#pragma once

#include "framework/global/json.h"

#include <string>

namespace laburnummill::reporting {

/// The report's document as one self-contained HTML page with plots (SVG); nothing on it that is not in the document.
auto htmlReport(const framework::Json& report) -> std::string;

} // namespace laburnummill::reporting
