#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace laburnummill::questionnaire {

/// How an answer is written on a terminal.
enum class AnswerKind
{
    Name,
    Number,
    YesNo,
    Choice,
    Text,
};

/// One field of an entry, asked for each entry in turn.
struct FieldQuestion
{
    std::string_view key;
    std::string_view text;
    AnswerKind kind = AnswerKind::Text;
    std::string_view choices;  ///< of a Choice, separated by spaces
    std::string_view fallback; ///< taken for an empty line; empty: an answer is needed
};

/// One question: a list of entries, or a single entry.
struct Question
{
    std::string_view key; ///< in the file of answers
    std::string_view text;
    bool isList = true;
    std::span<const FieldQuestion> fields;
};

/// All questions in the order in which they are asked.
auto questions() -> std::span<const Question>;

/// The question with this key.
auto questionOf(std::string_view key) -> std::optional<Question>;

} // namespace laburnummill::questionnaire
