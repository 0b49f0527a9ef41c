#include "testing/measure/gateway/processfigures.h"

#include <unistd.h>

#include <fstream>
#include <string>

namespace laburnummill::testing {

namespace {

constexpr auto s_fieldsBeforeUserTime = 11;
constexpr auto s_bytesPerMegabyte = 1024.0 * 1024.0;

} // namespace

auto processorSeconds(pid_t process) -> double
{
    auto file = std::ifstream("/proc/" + std::to_string(process) + "/stat");
    auto text = std::string();
    std::getline(file, text, ')');
    auto skipped = std::string();
    for (auto field = 0; field < s_fieldsBeforeUserTime; ++field) {
        file >> skipped;
    }
    auto userTicks = 0.0;
    auto systemTicks = 0.0;
    file >> userTicks >> systemTicks;
    return (userTicks + systemTicks) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

auto residentMegabytes(pid_t process) -> double
{
    auto file = std::ifstream("/proc/" + std::to_string(process) + "/statm");
    auto total = 0.0;
    auto resident = 0.0;
    file >> total >> resident;
    return resident * static_cast<double>(::sysconf(_SC_PAGESIZE)) / s_bytesPerMegabyte;
}

} // namespace laburnummill::testing
