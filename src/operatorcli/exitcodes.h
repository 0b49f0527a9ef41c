#pragma once

namespace laburnummill::operatorcli {

/// Exit codes of the operator command line. They are documented for use in scripts.
enum class ExitCode
{
    Done = 0,
    Failed = 1,      ///< the daemon rejected the request or failed; the error output gives the reason
    Usage = 2,       ///< invalid command or options
    Unreachable = 3, ///< no response from the daemon
    KeyRejected = 4, ///< the operator's key is invalid or its role does not allow the command
    Conflict = 5,    ///< the change conflicts with one made by another operator
    Unconfirmed = 6, ///< accepted, but a data centre is unreachable or has not confirmed
};

} // namespace laburnummill::operatorcli
