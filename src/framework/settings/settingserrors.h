#pragma once

#include <string>
#include <system_error>
#include <vector>

namespace laburnummill::framework {

/// Failures of reading a settings or configuration file.
enum class SettingsError
{
    FileUnreadable = 1,
    NotJson,
    Invalid,
};

auto make_error_code(SettingsError error) -> std::error_code; // NOLINT(readability-identifier-naming)

/// One fault of a document: where (JSON pointer) and what.
struct DocumentFault
{
    std::string pointer;
    std::string description;

    auto operator==(const DocumentFault&) const -> bool = default;
};

using DocumentFaults = std::vector<DocumentFault>;

} // namespace laburnummill::framework

template<>
struct std::is_error_code_enum<laburnummill::framework::SettingsError> : std::true_type
{};
