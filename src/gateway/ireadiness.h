#pragma once

#include <string_view>

namespace laburnummill::gateway {

/// Reports whether this host accepts caller requests, and how many it is handling.
class IReadiness
{
public:
    static constexpr std::string_view s_serviceName = "gateway.readiness";

    virtual ~IReadiness() = default;

    virtual auto isReady() const -> bool = 0;
    virtual auto runningRequests() const -> std::size_t = 0;
};

} // namespace laburnummill::gateway
