#pragma once

#include "platform/iheads.h"
#include "platform/itableservice.h"

#include <memory>
#include <vector>

namespace laburnummill::platform {

/// Reads the heads from the table service.
class HeadsReader final : public IHeads
{
public:
    explicit HeadsReader(std::shared_ptr<ITableService> tables)
        : m_tables(std::move(tables))
    {}

    auto watch(std::string name, std::function<void(std::uint64_t)> handler) -> void override;

    /// One read of all heads. A platform that does not answer calls no handler.
    auto readAll() -> framework::Async<void>;

private:
    struct Watch
    {
        std::string name;
        std::function<void(std::uint64_t)> handler;
    };

    std::shared_ptr<ITableService> m_tables;
    std::vector<Watch> m_watches;
};

} // namespace laburnummill::platform
