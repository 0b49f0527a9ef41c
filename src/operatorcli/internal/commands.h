#pragma once

#include "operatorcli/internal/commandcontext.h"

#include <functional>
#include <span>
#include <string_view>
#include <vector>

namespace laburnummill::operatorcli {

/// One command: its name, required options and function.
struct Command
{
    std::string_view name; ///< e.g. "keys give"
    std::string_view summary;
    std::vector<std::string_view> required; ///< options that must be given
    bool needsDaemon = true;
    std::function<ExitCode(const CommandContext&)> run;
};

auto commands() -> const std::vector<Command>&;

/// The groups of commands that make up commands().
auto configurationCommands() -> std::vector<Command>;
auto changeCommands() -> std::vector<Command>;
auto queryCommands() -> std::vector<Command>;
auto reportCommands() -> std::vector<Command>;

} // namespace laburnummill::operatorcli
