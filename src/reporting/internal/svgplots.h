#pragma once

#include "framework/global/json.h"

#include <string>

namespace laburnummill::reporting {

/// Text made safe for HTML and SVG.
auto escapeXml(const std::string& text) -> std::string;

/// Horizontal bars, one an account: the value at `key`, inside the object at `group` where that is given.
auto barPlot(const framework::Json& accounts, const char* group, const char* key, const std::string& caption) -> std::string;

/// Share of `what` that took at most so long, one line an account, over a logarithmic axis of milliseconds.
auto distributionPlot(const framework::Json& accounts, const char* group, const std::string& what) -> std::string;

} // namespace laburnummill::reporting
