#pragma once

#include "framework/global/json.h"

#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace laburnummill::framework {

/// What a daemon holds, as JSON, on request. Parts carry neither keys nor message texts.
class IStateDump
{
public:
    static constexpr std::string_view s_serviceName = "framework.statedump";

    using Part = std::function<Json()>;

    virtual ~IStateDump() = default;

    /// Adds a module's part under its name.
    virtual auto add(std::string name, Part part) -> void = 0;

    virtual auto dump() const -> Json = 0;
};

/// Calls each part in turn.
class StateDump final : public IStateDump
{
public:
    auto add(std::string name, Part part) -> void override { m_parts[std::move(name)] = std::move(part); }

    auto dump() const -> Json override
    {
        auto document = Json::object();
        for (const auto& [name, part] : m_parts) {
            document[name] = part();
        }
        return document;
    }

private:
    std::map<std::string, Part> m_parts;
};

} // namespace laburnummill::framework
