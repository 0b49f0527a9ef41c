#include "serving/quarantine.h"

#include "framework/global/digest.h"

namespace laburnummill::serving {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// One or two servers may fail by coincidence during a request; with three, the request is the likely cause.
constexpr auto s_quarantineThreshold = std::uint32_t{3};

/// A request that crashes servers is repeated within seconds; after one minute the cause may have been fixed.
constexpr auto s_retention = Milliseconds(60'000);

} // namespace

auto fingerprintOf(std::string_view account, std::string_view target, std::string_view body) -> Fingerprint
{
    return framework::hash64(body, framework::hash64(target, framework::hash64(account)));
}

auto Quarantine::recordCrash(Fingerprint fingerprint, Instant now) -> void
{
    auto& count = m_localCounts[fingerprint];
    ++count.crashes;
    count.last = now;
}

auto Quarantine::recordAnswer(Fingerprint fingerprint) -> void
{
    if (!m_localCounts.empty()) {
        m_localCounts.erase(fingerprint);
    }
}

auto Quarantine::setRemoteCrashes(std::string_view host, const std::vector<SuspectedCrash>& crashes, Instant now) -> void
{
    auto counts = std::map<Fingerprint, Count>();
    for (const auto& crash : crashes) {
        counts[crash.fingerprint] = Count{.crashes = crash.crashes, .last = now};
    }
    if (counts.empty()) {
        m_remoteCounts.erase(std::string(host));
        return;
    }
    m_remoteCounts[std::string(host)] = std::move(counts);
}

auto Quarantine::isQuarantined(Fingerprint fingerprint, Instant now) const -> bool
{
    auto crashes = std::uint32_t{0};
    const auto add = [&](const std::map<Fingerprint, Count>& counts) {
        const auto found = counts.find(fingerprint);
        crashes += found != counts.end() && now < found->second.last + s_retention ? found->second.crashes : 0;
    };
    add(m_localCounts);
    for (const auto& [host, counts] : m_remoteCounts) {
        add(counts);
    }
    return crashes >= s_quarantineThreshold;
}

auto Quarantine::localCrashes(Instant now) const -> std::vector<SuspectedCrash>
{
    auto crashes = std::vector<SuspectedCrash>();
    for (const auto& [fingerprint, count] : m_localCounts) {
        if (now < count.last + s_retention) {
            crashes.push_back({.fingerprint = fingerprint, .crashes = count.crashes});
        }
    }
    return crashes;
}

auto Quarantine::removeExpired(Instant now) -> void
{
    std::erase_if(m_localCounts, [now](const auto& entry) { return entry.second.last + s_retention < now; });
}

} // namespace laburnummill::serving
