#pragma once

#include "operatorcli/exitcodes.h"
#include "operatorcli/internal/apiclient.h"

#include <boost/program_options.hpp>

#include <iosfwd>
#include <string>

namespace laburnummill::operatorcli {

/// Client, options and streams that a command runs with.
struct CommandContext
{
    const ApiClient& api;
    const boost::program_options::variables_map& options;
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    bool asJson = false;

    /// The value of an option; empty if it was not given.
    auto text(const char* name) const -> std::string { return options.contains(name) ? options[name].as<std::string>() : std::string(); }
    auto has(const char* name) const -> bool { return options.contains(name); }
};

/// Prints the error of a failed request and advice on it. Returns the matching exit code; Done if the request succeeded.
auto reportFailure(const CommandContext& context, const ApiAnswer& answer) -> ExitCode;

/// Waits up to about 10 s for all data centres to confirm a change and prints their state. Returns Unconfirmed if
/// some have not confirmed.
auto showConfirmations(const CommandContext& context, const ApiAnswer& answer) -> ExitCode;

} // namespace laburnummill::operatorcli
