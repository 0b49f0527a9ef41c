#pragma once

#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::serving {

/// Usual time of work by kind, over all backend servers; tells how slow one server is against the others.
class LatencyTracker
{
public:
    /// Takes a time of `kind`; returns it against the usual (1 is usual), or 0 where too little is known yet.
    auto record(std::string_view kind, double milliseconds) -> double;

    /// The usual of `kind`, in milliseconds; nothing where too little is known yet.
    auto usual(std::string_view kind) const -> std::optional<double>;

private:
    struct Average
    {
        double milliseconds = 0;
        int samples = 0;
    };

    std::map<std::string, Average, std::less<>> m_averages;
};

} // namespace laburnummill::serving
