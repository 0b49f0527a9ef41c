#include "framework/settings/settingserrors.h"

#include "framework/global/errorcategory.h"

#include <array>

namespace laburnummill::framework {

namespace {

constexpr auto s_rows = std::to_array<ErrorRow<SettingsError>>({
    {SettingsError::FileUnreadable, "file_unreadable", "the file cannot be read", FailureKind::NotFound},
    {SettingsError::NotJson, "not_json", "the text is not JSON", FailureKind::BadRequest},
    {SettingsError::Invalid, "document_invalid", "the document does not match its schema", FailureKind::BadRequest},
});

} // namespace

auto make_error_code(SettingsError error) -> std::error_code
{
    static const auto category = EnumCategory<SettingsError>("settings", s_rows);
    return {static_cast<int>(error), category};
}

} // namespace laburnummill::framework
