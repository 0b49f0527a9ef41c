#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace laburnummill::operatorcli {

/// Runs one command of the operator command line and returns its exit code.
auto runCommandLine(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out, std::ostream& err) -> int;

} // namespace laburnummill::operatorcli
