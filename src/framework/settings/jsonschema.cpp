#include "framework/settings/jsonschema.h"

#include <valijson/adapters/nlohmann_json_adapter.hpp>
#include <valijson/schema.hpp>
#include <valijson/schema_parser.hpp>
#include <valijson/validation_results.hpp>
#include <valijson/validator.hpp>

#include <fstream>
#include <sstream>

namespace laburnummill::framework {

namespace {

/// Turns valijson's "<root>[a][0]" into the JSON pointer "/a/0".
auto toPointer(const std::vector<std::string>& context) -> std::string
{
    auto pointer = std::string();
    for (const auto& part : context) {
        if (part.size() < 2 || part.front() != '[') {
            continue;
        }
        auto name = part.substr(1, part.size() - 2);
        if (name.size() >= 2 && name.front() == '"') {
            name = name.substr(1, name.size() - 2);
        }
        pointer += "/" + name;
    }
    return pointer;
}

} // namespace

auto checkAgainstSchema(const Json& document, const Json& schema) -> DocumentFaults
{
    auto parsed = valijson::Schema();
    auto parser = valijson::SchemaParser();
    parser.populateSchema(valijson::adapters::NlohmannJsonAdapter(schema), parsed);
    auto validator = valijson::Validator();
    auto results = valijson::ValidationResults();
    auto faults = DocumentFaults();
    if (validator.validate(parsed, valijson::adapters::NlohmannJsonAdapter(document), &results)) {
        return faults;
    }
    auto error = valijson::ValidationResults::Error();
    while (results.popError(error)) {
        faults.push_back({toPointer(error.context), error.description});
    }
    return faults;
}

auto readJsonFile(const std::filesystem::path& path) -> Result<Json>
{
    auto file = std::ifstream(path);
    if (!file) {
        return failure(SettingsError::FileUnreadable);
    }
    auto text = std::stringstream();
    text << file.rdbuf();
    auto document = parseJson(text.str());
    if (!document) {
        return failure(SettingsError::NotJson);
    }
    return std::move(*document);
}

} // namespace laburnummill::framework
