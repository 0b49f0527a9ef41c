#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/MemoryLeakWarningPlugin.h>
#include <CppUTest/TestRegistry.h>

#include <algorithm>
#include <cstdio>
#include <string>
#include <string_view>
#include <vector>

namespace {

constexpr auto s_passOverOption = std::string_view("--pass-over");

/// Removes the tests named GROUP.NAME from the registry; returns whether each of them was there.
auto passOver(TestRegistry& registry, std::vector<std::string> names) -> bool
{
    auto kept = std::vector<UtestShell*>();
    while (registry.getFirstTest() != nullptr) {
        auto* const test = registry.getFirstTest();
        const auto name = std::string(test->getGroup().asCharString()) + "." + test->getName().asCharString();
        const auto found = std::ranges::find(names, name);
        if (found == names.end()) {
            kept.push_back(test);
        } else {
            std::printf("known red, passed over: %s\n", name.c_str());
            names.erase(found);
        }
        registry.unDoLastAddTest();
    }
    std::ranges::for_each(kept.rbegin(), kept.rend(), [&registry](UtestShell* test) { registry.addTest(test); });
    for (const auto& name : names) {
        std::fprintf(stderr, "%s %s: no such test\n", s_passOverOption.data(), name.c_str());
    }
    return names.empty();
}

} // namespace

auto main(int argc, char** argv) -> int
{
    // NOTE CppUTest's own leak detection cannot see through coroutine frames; the sanitizer preset looks for leaks.
    MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
    auto arguments = std::vector<const char*>();
    auto names = std::vector<std::string>();
    for (auto index = 0; index < argc; ++index) {
        if (argv[index] == s_passOverOption && index + 1 < argc) {
            names.emplace_back(argv[++index]);
        } else {
            arguments.push_back(argv[index]);
        }
    }
    if (!passOver(*TestRegistry::getCurrentRegistry(), std::move(names))) {
        return 1;
    }
    return CommandLineTestRunner::RunAllTests(static_cast<int>(arguments.size()), arguments.data());
}
