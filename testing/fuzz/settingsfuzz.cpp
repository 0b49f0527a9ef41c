#include "configuration/configurationcodec.h"
#include "framework/settings/daemonsettings.h"

#include <cstddef>
#include <cstdint>
#include <string_view>

/// The input: a document, read as settings and as a configuration.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int // NOLINT(readability-identifier-naming)
{
    using namespace laburnummill;
    const auto document = framework::parseJson(std::string_view(reinterpret_cast<const char*>(data), size));
    if (!document) {
        return 0;
    }
    auto faults = framework::DocumentFaults();
    (void)framework::daemonSettingsFromJson(*document, faults);
    (void)configuration::configurationFromJson(*document, faults);
    return 0;
}
