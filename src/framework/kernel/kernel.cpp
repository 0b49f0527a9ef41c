#include "framework/kernel/kernel.h"

#include <algorithm>
#include <set>

namespace laburnummill::framework {

namespace {

using Names = std::set<std::string_view>;

auto isReady(const IModule& module, const Names& available) -> bool
{
    const auto imports = module.imports();
    return std::ranges::all_of(imports, [&](auto name) { return available.contains(name); });
}

auto firstMissing(const std::vector<std::unique_ptr<IModule>>& modules, const Names& exported) -> std::string
{
    for (const auto& module : modules) {
        for (const auto name : module->imports()) {
            if (!exported.contains(name)) {
                return std::string(module->name()) + " needs " + std::string(name);
            }
        }
    }
    return {};
}

} // namespace

auto Kernel::add(std::unique_ptr<IModule> module) -> void
{
    m_modules.push_back(std::move(module));
}

auto Kernel::sortByDependencies(std::string& culprit) -> Result<void>
{
    auto exported = Names(m_provided.begin(), m_provided.end());
    for (const auto& module : m_modules) {
        for (const auto name : module->exports()) {
            if (!exported.insert(name).second) {
                culprit = name;
                return KernelError::DuplicateService;
            }
        }
    }
    culprit = firstMissing(m_modules, exported);
    if (!culprit.empty()) {
        return KernelError::MissingService;
    }

    auto available = Names(m_provided.begin(), m_provided.end());
    auto sorted = std::vector<std::unique_ptr<IModule>>();
    while (!m_modules.empty()) {
        const auto next = std::ranges::find_if(m_modules, [&](const auto& module) { return isReady(*module, available); });
        if (next == m_modules.end()) {
            culprit = m_modules.front()->name();
            return KernelError::DependencyCycle;
        }
        const auto names = (*next)->exports();
        available.insert(names.begin(), names.end());
        sorted.push_back(std::move(*next));
        m_modules.erase(next);
    }
    m_modules = std::move(sorted);
    return success();
}

auto Kernel::assemble(std::string& culprit) -> Result<void>
{
    BOOST_OUTCOME_TRYV(sortByDependencies(culprit));
    for (const auto& module : m_modules) {
        culprit = module->name();
        BOOST_OUTCOME_TRYV(module->registerServices(m_registry));
    }
    culprit.clear();
    return success();
}

auto Kernel::start() -> AsyncResult<void>
{
    while (m_started < m_modules.size()) {
        const auto started = co_await m_modules[m_started]->start();
        if (!started) {
            co_await stop();
            co_return started.error();
        }
        ++m_started;
    }
    co_return success();
}

auto Kernel::stop() -> Async<void>
{
    while (m_started > 0) {
        --m_started;
        co_await m_modules[m_started]->stop();
    }
}

} // namespace laburnummill::framework
