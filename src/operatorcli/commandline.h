#pragma once

#include <iosfwd>
#include <string>
#include <vector>

namespace laburnummill::operatorcli {

/// Runs one command line of an operator; yields its exit code.
auto runCommandLine(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out, std::ostream& err) -> int;

} // namespace laburnummill::operatorcli
