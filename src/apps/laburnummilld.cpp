#include "apps/daemon.h"

#include <boost/program_options.hpp>

#include <iostream>

namespace {

namespace options = boost::program_options;
namespace framework = laburnummill::framework;

constexpr auto s_version = "laburnummilld 0.1.0";
constexpr auto s_exitUsage = 2;

auto describeOptions() -> options::options_description
{
    auto described = options::options_description("laburnummilld: the daemon on every entry host");
    auto add = described.add_options();
    add("help,h", "shows this help");
    add("version", "shows the version");
    add("settings,s", options::value<std::string>(), "the settings file (JSON)");
    add("embedded", "keeps the platform's services in memory: one daemon, nothing else needed");
    add("check-settings", "checks the settings file and exits");
    add("print-settings", "prints the settings in force, defaults included, and exits");
    return described;
}

auto readSettings(const std::string& path) -> std::optional<framework::DaemonSettings>
{
    const auto document = framework::readJsonFile(path);
    if (!document) {
        std::cerr << path << ": " << document.error().message() << '\n';
        return std::nullopt;
    }
    auto faults = framework::DocumentFaults();
    auto settings = framework::daemonSettingsFromJson(document.value(), faults);
    for (const auto& fault : faults) {
        std::cerr << path << ": " << (fault.pointer.empty() ? "/" : fault.pointer) << ": " << fault.description << '\n';
    }
    return settings ? std::optional(std::move(settings.value())) : std::nullopt;
}

auto runWith(const options::variables_map& chosen) -> int
{
    auto settings = readSettings(chosen["settings"].as<std::string>());
    if (!settings) {
        return s_exitUsage;
    }
    if (chosen.contains("check-settings")) {
        std::cout << "settings are valid\n";
        return 0;
    }
    if (chosen.contains("print-settings")) {
        std::cout << toJson(*settings).dump(2) << '\n';
        return 0;
    }
    framework::startLogging(settings->host, settings->logLevel);
    return laburnummill::apps::Daemon(std::move(*settings), chosen.contains("embedded")).run();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    const auto described = describeOptions();
    auto chosen = options::variables_map();
    try {
        options::store(options::parse_command_line(argc, argv, described), chosen);
    } catch (const options::error& error) {
        std::cerr << error.what() << '\n' << described << '\n';
        return s_exitUsage;
    }
    if (chosen.contains("help")) {
        std::cout << described << '\n';
        return 0;
    }
    if (chosen.contains("version")) {
        std::cout << s_version << '\n';
        return 0;
    }
    if (!chosen.contains("settings")) {
        std::cerr << "--settings is missing\n" << described << '\n';
        return s_exitUsage;
    }
    return runWith(chosen);
}
