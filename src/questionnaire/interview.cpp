#include "questionnaire/interview.h"

#include "questionnaire/questions.h"

#include <istream>
#include <ostream>
#include <string>

namespace laburnummill::questionnaire {

using framework::Json;
using framework::Result;

namespace {

auto readLine(std::istream& in) -> Result<std::string>
{
    auto line = std::string();
    if (!std::getline(in, line)) {
        return QuestionnaireError::InputEnded;
    }
    while (!line.empty() && (line.back() == ' ' || line.back() == '\r')) {
        line.pop_back();
    }
    return line;
}

/// The value that a line means for a field; nothing where it means none.
auto valueOfLine(const FieldQuestion& field, const std::string& line) -> std::optional<Json>
{
    const auto text = line.empty() ? std::string(field.fallback) : line;
    switch (field.kind) {
    case AnswerKind::Number: {
        const auto number = framework::parseJson(text);
        return number && number->is_number() && number->get<double>() > 0 ? number : std::nullopt;
    }
    case AnswerKind::YesNo:
        if (text == "yes" || text == "no") {
            return Json(text == "yes");
        }
        return std::nullopt;
    case AnswerKind::Choice:
        if (!text.empty() && (" " + std::string(field.choices) + " ").find(" " + text + " ") != std::string::npos) {
            return Json(text);
        }
        return std::nullopt;
    case AnswerKind::Name:
    case AnswerKind::Text:
        return text.empty() ? std::nullopt : std::optional<Json>(text);
    }
    return std::nullopt;
}

auto hintOf(const FieldQuestion& field) -> std::string
{
    auto hint = std::string();
    if (field.kind == AnswerKind::YesNo) {
        hint = " (yes or no)";
    } else if (!field.choices.empty()) {
        hint = " (" + std::string(field.choices) + ")";
    }
    if (!field.fallback.empty()) {
        hint += " [" + std::string(field.fallback) + "]";
    }
    return hint;
}

auto askField(const FieldQuestion& field, std::istream& in, std::ostream& out) -> Result<Json>
{
    while (true) {
        out << "  " << field.text << hintOf(field) << ": " << std::flush;
        BOOST_OUTCOME_TRY(const auto line, readLine(in));
        if (auto value = valueOfLine(field, line)) {
            return std::move(*value);
        }
        out << "  This answer does not fit.\n";
    }
}

auto askEntry(const Question& question, std::istream& in, std::ostream& out) -> Result<Json>
{
    auto entry = Json::object();
    for (const auto& field : question.fields) {
        BOOST_OUTCOME_TRY(entry[std::string(field.key)], askField(field, in, out));
    }
    return entry;
}

auto askMore(std::istream& in, std::ostream& out) -> Result<bool>
{
    constexpr auto more = FieldQuestion{"more", "Another one?", AnswerKind::YesNo, {}, "no"};
    BOOST_OUTCOME_TRY(const auto answer, askField(more, in, out));
    return answer.get<bool>();
}

} // namespace

auto interview(std::istream& in, std::ostream& out) -> Result<Json>
{
    auto answers = Json::object();
    for (const auto& question : questions()) {
        out << question.text << '\n';
        const auto key = std::string(question.key);
        if (!question.isList) {
            BOOST_OUTCOME_TRY(answers[key], askEntry(question, in, out));
            continue;
        }
        answers[key] = Json::array();
        auto wantsMore = true;
        while (wantsMore) {
            BOOST_OUTCOME_TRY(auto entry, askEntry(question, in, out));
            answers[key].push_back(std::move(entry));
            BOOST_OUTCOME_TRY(wantsMore, askMore(in, out));
        }
    }
    return answers;
}

} // namespace laburnummill::questionnaire
