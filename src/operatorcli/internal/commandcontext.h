#pragma once

#include "operatorcli/exitcodes.h"
#include "operatorcli/internal/apiclient.h"

#include <boost/program_options.hpp>

#include <iosfwd>
#include <string>

namespace laburnummill::operatorcli {

/// What a command runs with.
struct CommandContext
{
    const ApiClient& api;
    const boost::program_options::variables_map& options;
    std::istream& in;
    std::ostream& out;
    std::ostream& err;
    bool asJson = false;

    /// The option's text; empty where it was not given.
    auto text(const char* name) const -> std::string { return options.contains(name) ? options[name].as<std::string>() : std::string(); }
    auto has(const char* name) const -> bool { return options.contains(name); }
};

/// Tells of a failed answer and what to do about it; yields the exit code that fits. Done where the answer is a success.
auto reportFailure(const CommandContext& context, const ApiAnswer& answer) -> ExitCode;

/// Tells which data centres have confirmed a change, waiting for those that have not yet; yields the exit code that fits.
auto showConfirmations(const CommandContext& context, const ApiAnswer& answer) -> ExitCode;

} // namespace laburnummill::operatorcli
