#include "framework/settings/jsonschema.h"
#include "operatorcli/internal/commands.h"
#include "questionnaire/answers.h"
#include "questionnaire/interview.h"

#include <fstream>
#include <ostream>

namespace laburnummill::operatorcli {

using framework::Json;
using framework::stringAt;

namespace {

auto writeDocument(const CommandContext& context, const Json& document) -> ExitCode
{
    const auto path = context.text("output");
    if (path.empty()) {
        context.out << document.dump(2) << '\n';
        return ExitCode::Done;
    }
    auto file = std::ofstream(path);
    file << document.dump(2) << '\n';
    if (!file.flush()) {
        context.err << path << ": cannot be written\n";
        return ExitCode::Failed;
    }
    context.out << "written to " << path << '\n';
    return ExitCode::Done;
}

auto readFile(const CommandContext& context, const std::string& path) -> std::optional<Json>
{
    auto document = framework::readJsonFile(path);
    if (!document) {
        context.err << path << ": " << document.error().message() << '\n';
        return std::nullopt;
    }
    return std::move(document.value());
}

auto questionnaireCommand(const CommandContext& context) -> ExitCode
{
    auto answers = Json();
    if (const auto path = context.text("answers"); !path.empty()) {
        const auto read = readFile(context, path);
        if (!read) {
            return ExitCode::Failed;
        }
        answers = *read;
    } else {
        auto& prompts = context.has("output") ? context.out : context.err;
        const auto interviewed = questionnaire::interview(context.in, prompts);
        if (!interviewed) {
            context.err << '\n' << interviewed.error().message() << '\n';
            return ExitCode::Failed;
        }
        answers = interviewed.value();
    }
    auto faults = questionnaire::AnswerFaults();
    const auto configuration = questionnaire::configurationFromAnswers(answers, faults);
    for (const auto& fault : faults) {
        context.err << describe(fault) << '\n';
    }
    return configuration ? writeDocument(context, configuration.value()) : ExitCode::Failed;
}

auto show(const CommandContext& context) -> ExitCode
{
    const auto version = context.text("version-number");
    const auto answer = context.api.get("configuration", version.empty() ? std::string() : "version=" + version);
    const auto code = reportFailure(context, answer);
    return code == ExitCode::Done ? writeDocument(context, answer.body) : code;
}

auto history(const CommandContext& context) -> ExitCode
{
    const auto answer = context.api.get("configuration/history");
    const auto code = reportFailure(context, answer);
    if (code != ExitCode::Done) {
        return code;
    }
    if (context.asJson) {
        context.out << answer.body.dump(2) << '\n';
        return code;
    }
    for (const auto& entry : answer.body["versions"]) {
        context.out << "version " << framework::integerAt(entry, "version") << ", accepted at "
                    << framework::integerAt(entry, "acceptedAtMs") << " ms since 1970\n";
    }
    return code;
}

/// Prints the differences between the current version and a file, as a JSON patch (RFC 6902).
auto diff(const CommandContext& context) -> ExitCode
{
    const auto proposed = readFile(context, context.text("file"));
    if (!proposed) {
        return ExitCode::Failed;
    }
    const auto answer = context.api.get("configuration");
    if (const auto code = reportFailure(context, answer); code != ExitCode::Done) {
        return code;
    }
    auto target = *proposed;
    target["version"] = answer.body["version"];
    const auto patch = Json::diff(answer.body, target);
    if (context.asJson) {
        context.out << patch.dump(2) << '\n';
        return ExitCode::Done;
    }
    for (const auto& step : patch) {
        context.out << stringAt(step, "op") << ' ' << stringAt(step, "path");
        if (step.contains("value")) {
            context.out << " = " << step["value"].dump();
        }
        context.out << '\n';
    }
    context.out << (patch.empty() ? "no difference\n" : "");
    return ExitCode::Done;
}

auto apply(const CommandContext& context) -> ExitCode
{
    const auto document = readFile(context, context.text("file"));
    if (!document) {
        return ExitCode::Failed;
    }
    auto expected = std::int64_t{0};
    if (const auto given = context.text("expected"); !given.empty()) {
        expected = std::atoll(given.c_str());
    } else if (document->contains("version") && framework::integerAt(*document, "version") > 0) {
        expected = framework::integerAt(*document, "version");
    } else {
        const auto current = context.api.get("configuration");
        if (current.status == 0 || current.status == 401 || current.status == 403) {
            return reportFailure(context, current);
        }
        expected = framework::integerAt(current.body, "version");
    }
    const auto body = Json{{"expected", expected}, {"configuration", *document}};
    return showConfirmations(context, context.api.send("PUT", "configuration", body));
}

} // namespace

auto configurationCommands() -> std::vector<Command>
{
    return {
        {"questionnaire", "asks the questions, or reads --answers FILE, and writes the configuration", {}, false, questionnaireCommand},
        {"configuration show", "the current version, or --version-number N", {}, true, show},
        {"configuration history", "the stored versions", {}, true, history},
        {"configuration diff", "what --file FILE would change", {"file"}, true, diff},
        {"configuration apply",
         "makes --file FILE the next version, replacing --expected N, else the file's own version or the current one",
         {"file"},
         true,
         apply},
    };
}

} // namespace laburnummill::operatorcli
