#include "operatorcli/internal/commands.h"
#include "reporting/htmlreport.h"

#include <ctime>
#include <fstream>
#include <optional>
#include <ostream>
#include <sstream>

namespace laburnummill::operatorcli {

namespace {

constexpr auto s_millisecondsPerSecond = std::int64_t{1'000};

/// Converts "YYYY-MM-DDTHH:MM" (UTC), or a number of milliseconds, to milliseconds since 1970. Returns nullopt if it is neither.
auto timeOf(const std::string& text) -> std::optional<std::int64_t>
{
    if (!text.empty() && text.find_first_not_of("0123456789") == std::string::npos) {
        return std::atoll(text.c_str());
    }
    auto parts = std::tm();
    const auto* end = ::strptime(text.c_str(), "%Y-%m-%dT%H:%M", &parts);
    if (end == nullptr || *end != '\0') {
        return std::nullopt;
    }
    return static_cast<std::int64_t>(::timegm(&parts)) * s_millisecondsPerSecond;
}

auto report(const CommandContext& context) -> ExitCode
{
    const auto from = timeOf(context.text("from"));
    const auto to = timeOf(context.text("to"));
    if (!from || !to || *to <= *from) {
        context.err << "--from and --to take times like 2027-01-31T18:00 (UTC); --to must be later than --from\n";
        return ExitCode::Usage;
    }
    const auto answer = context.api.get("report", "from=" + std::to_string(*from) + "&to=" + std::to_string(*to));
    if (const auto code = reportFailure(context, answer); code != ExitCode::Done) {
        return code;
    }
    if (context.asJson) {
        context.out << answer.body.dump(2) << '\n';
        return ExitCode::Done;
    }
    const auto path = context.has("output") ? context.text("output") : std::string("report.html");
    auto page = std::ofstream(path);
    page << reporting::htmlReport(answer.body);
    auto figures = std::ofstream(path + ".json");
    figures << answer.body.dump(2) << '\n';
    if (!page.flush() || !figures.flush()) {
        context.err << path << ": cannot be written\n";
        return ExitCode::Failed;
    }
    context.out << "written to " << path << " and " << path << ".json\n";
    return ExitCode::Done;
}

} // namespace

auto reportCommands() -> std::vector<Command>
{
    return {
        {"report",
         "the shared report between --from and --to, to --output (HTML, with its figures as JSON in a second file)",
         {"from", "to"},
         true,
         report},
    };
}

} // namespace laburnummill::operatorcli
