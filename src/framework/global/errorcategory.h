#pragma once

#include <span>
#include <string>
#include <string_view>
#include <system_error>

namespace laburnummill::framework {

/// What a failure means to whoever asked; decides the HTTP status and the exit code.
enum class FailureKind
{
    BadRequest,
    Unauthenticated,
    Forbidden,
    NotFound,
    Conflict,
    TooLarge,
    RateLimited,
    Unavailable,
    Timeout,
    Internal,
};

/// One value of a module's error enum, with its stable code and its text for people.
template<class Enum>
struct ErrorRow
{
    Enum value;
    std::string_view code;
    std::string_view text;
    FailureKind kind;
};

/// Base of all categories of this project: knows stable codes and kinds.
class TypedCategory : public std::error_category
{
public:
    virtual auto code(int value) const -> std::string_view = 0;
    virtual auto kind(int value) const -> FailureKind = 0;
};

/// The category of one module's error enum, made from its table of rows.
template<class Enum>
class EnumCategory final : public TypedCategory
{
public:
    EnumCategory(const char* name, std::span<const ErrorRow<Enum>> rows)
        : m_name(name)
        , m_rows(rows)
    {}

    auto name() const noexcept -> const char* override { return m_name; }
    auto message(int value) const -> std::string override { return std::string(row(value).text); }
    auto code(int value) const -> std::string_view override { return row(value).code; }
    auto kind(int value) const -> FailureKind override { return row(value).kind; }

private:
    auto row(int value) const -> ErrorRow<Enum>
    {
        for (const auto& candidate : m_rows) {
            if (static_cast<int>(candidate.value) == value) {
                return candidate;
            }
        }
        return {Enum{}, "internal", "an unnamed failure", FailureKind::Internal};
    }

    const char* m_name;
    std::span<const ErrorRow<Enum>> m_rows;
};

/// The stable code of a failure, e.g. "key_unknown"; "internal" for foreign categories.
auto codeOf(const std::error_code& error) -> std::string_view;

/// The kind of a failure; Internal for foreign categories.
auto kindOf(const std::error_code& error) -> FailureKind;

} // namespace laburnummill::framework
