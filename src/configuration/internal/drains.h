#pragma once

#include "configuration/idrains.h"
#include "configuration/internal/configurationmanager.h"

#include <functional>

namespace laburnummill::configuration {

/// Reads, modifies and writes the platform's version, and retries if another change was accepted first.
class Drains final : public IDrains
{
public:
    explicit Drains(std::shared_ptr<ConfigurationManager> manager)
        : m_manager(std::move(manager))
    {}

    auto setDataCentre(std::string name, DrainState state) -> framework::AsyncResult<std::uint64_t> override;
    auto setBackendServer(std::string name, DrainState state) -> framework::AsyncResult<std::uint64_t> override;

private:
    /// Changes a configuration; returns false if it already has the state.
    using Edit = std::function<framework::Result<bool>(Configuration&)>;

    auto change(Edit edit) -> framework::AsyncResult<std::uint64_t>;

    std::shared_ptr<ConfigurationManager> m_manager;
};

} // namespace laburnummill::configuration
