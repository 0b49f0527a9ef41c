#include "operatorcli/commandline.h"

#include "operatorcli/internal/commands.h"

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iterator>
#include <ostream>

namespace laburnummill::operatorcli {

namespace options = boost::program_options;

namespace {

constexpr auto s_version = "laburnummill 0.1.0";
constexpr auto s_defaultDaemon = "127.0.0.1:18081";
constexpr auto s_keyVariable = "LABURNUMMILL_KEY";

auto describeOptions() -> options::options_description
{
    auto description = options::options_description("options");
    auto add = description.add_options();
    add("help,h", "shows this help");
    add("version", "shows the version");
    add("json", "prints the response as JSON");
    add("daemon,d", options::value<std::string>()->default_value(s_defaultDaemon), "operator address (IP:port) of a daemon");
    add("key-file", options::value<std::string>(), "file with the operator's key; default: the variable LABURNUMMILL_KEY");
    constexpr auto texts = std::to_array<std::pair<const char*, const char*>>({
        {"answers", "file of answers to the questionnaire"},
        {"output", "file to write to"},
        {"file", "file of a configuration"},
        {"expected", "version that the new one replaces"},
        {"version-number", "version to show"},
        {"account", "client account"},
        {"hash", "SHA-256 of a key"},
        {"data-centre", "data centre"},
        {"backend", "backend server"},
        {"program", "program"},
        {"finding", "ran or not-run"},
        {"why", "reason, recorded with the change"},
        {"fingerprint", "fingerprint of a request"},
        {"name", "operator's name"},
        {"role", "operator's role"},
        {"team", "operator's team"},
        {"from", "start of the report"},
        {"to", "end of the report"},
    });
    for (const auto& [name, text] : texts) {
        add(name, options::value<std::string>(), text);
    }
    return description;
}

auto findCommand(const std::vector<std::string>& arguments) -> const Command*
{
    auto name = std::string();
    for (const auto& word : arguments) {
        name += (name.empty() ? "" : " ") + word;
    }
    const auto found = std::ranges::find(commands(), name, &Command::name);
    return found == commands().end() ? nullptr : &*found;
}

auto showHelp(std::ostream& out, const options::options_description& description) -> void
{
    out << "laburnummill COMMAND [options]: the operators' command line\n\ncommands\n";
    for (const auto& command : commands()) {
        out << "  " << std::left << std::setw(24) << command.name << command.summary << '\n';
    }
    out << '\n'
        << description
        << "\nexit codes: 0 done, 1 failed, 2 usage, 3 daemon unreachable, 4 key or role rejected,\n"
           "            5 another operator's change came first, 6 accepted but not confirmed everywhere\n";
}

auto readKey(const options::variables_map& values) -> std::string
{
    auto key = std::string();
    if (values.contains("key-file")) {
        auto file = std::ifstream(values["key-file"].as<std::string>());
        std::getline(file, key);
    } else if (const auto* variable = std::getenv(s_keyVariable)) {
        key = variable;
    }
    return key;
}

auto missingOption(const Command& command, const options::variables_map& values) -> std::string_view
{
    const auto missing = std::ranges::find_if(command.required, [&](auto name) { return !values.contains(std::string(name)); });
    return missing == command.required.end() ? std::string_view() : *missing;
}

auto runCommand(const Command& command, const options::variables_map& values, std::istream& in, std::ostream& out, std::ostream& err) -> int
{
    if (const auto missing = missingOption(command, values); !missing.empty()) {
        err << command.name << " needs --" << missing << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    const auto daemon = framework::Endpoint::parse(values["daemon"].as<std::string>());
    if (daemon.port == 0) {
        err << "--daemon takes an IP address and a port, e.g. " << s_defaultDaemon << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    const auto api = ApiClient(daemon, command.needsDaemon ? readKey(values) : std::string());
    return static_cast<int>(command.run({api, values, in, out, err, values.contains("json")}));
}

} // namespace

auto commands() -> const std::vector<Command>&
{
    static const auto all = [] {
        auto list = configurationCommands();
        for (auto more : {changeCommands(), queryCommands(), reportCommands()}) {
            std::ranges::move(more, std::back_inserter(list));
        }
        return list;
    }();
    return all;
}

auto runCommandLine(const std::vector<std::string>& arguments, std::istream& in, std::ostream& out, std::ostream& err) -> int
{
    const auto description = describeOptions();
    auto values = options::variables_map();
    auto commandParts = std::vector<std::string>();
    try {
        const auto parsed = options::command_line_parser(arguments).options(description).allow_unregistered().run();
        for (const auto& option : parsed.options) {
            if (option.unregistered) {
                throw options::unknown_option(option.string_key);
            }
            if (option.position_key >= 0) {
                commandParts.insert(commandParts.end(), option.value.begin(), option.value.end());
            }
        }
        options::store(parsed, values);
    } catch (const options::error& error) {
        err << error.what() << '\n';
        return static_cast<int>(ExitCode::Usage);
    }
    if (values.contains("help")) {
        showHelp(out, description);
        return 0;
    }
    if (values.contains("version")) {
        out << s_version << '\n';
        return 0;
    }
    const auto* command = findCommand(commandParts);
    if (command == nullptr) {
        err << "unknown command; see laburnummill --help\n";
        return static_cast<int>(ExitCode::Usage);
    }
    return runCommand(*command, values, in, out, err);
}

} // namespace laburnummill::operatorcli
