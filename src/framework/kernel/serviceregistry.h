#pragma once

#include "framework/global/result.h"
#include "framework/kernel/kernelerrors.h"

#include <any>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace laburnummill::framework {

/// Services by name. An interface carries its name as `s_serviceName`.
class ServiceRegistry
{
public:
    /// Registers `service` under its interface's name; DuplicateService where the name is taken.
    template<class Interface>
    auto add(std::shared_ptr<Interface> service) -> Result<void>
    {
        const auto [position, added] = m_services.emplace(Interface::s_serviceName, std::move(service));
        if (!added) {
            return KernelError::DuplicateService;
        }
        return success();
    }

    /// The service registered under the interface's name.
    template<class Interface>
    auto resolve() const -> Result<std::shared_ptr<Interface>>
    {
        const auto found = m_services.find(Interface::s_serviceName);
        if (found == m_services.end()) {
            return KernelError::MissingService;
        }
        const auto* service = std::any_cast<std::shared_ptr<Interface>>(&found->second);
        if (service == nullptr) {
            return KernelError::WrongServiceType;
        }
        return *service;
    }

    auto contains(std::string_view name) const -> bool { return m_services.contains(name); }

private:
    std::map<std::string, std::any, std::less<>> m_services;
};

} // namespace laburnummill::framework
