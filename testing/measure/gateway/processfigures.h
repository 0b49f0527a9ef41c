#pragma once

#include <sys/types.h>

namespace laburnummill::testing {

/// Processor time that a process has used, in seconds.
auto processorSeconds(pid_t process) -> double;

/// Resident memory of a process, in megabytes.
auto residentMegabytes(pid_t process) -> double;

} // namespace laburnummill::testing
