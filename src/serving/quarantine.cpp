#include "serving/quarantine.h"

#include "framework/global/digest.h"

namespace laburnummill::serving {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// One or two servers may break off by chance; three under the same request are its doing.
constexpr auto s_crashesHeld = std::uint32_t{3};

/// A request that crashes servers comes again within seconds; after a minute it may have been mended.
constexpr auto s_memory = Milliseconds(60'000);

} // namespace

auto fingerprintOf(std::string_view account, std::string_view target, std::string_view body) -> Fingerprint
{
    return framework::hash64(body, framework::hash64(target, framework::hash64(account)));
}

auto Quarantine::broke(Fingerprint fingerprint, Instant now) -> void
{
    auto& count = m_own[fingerprint];
    ++count.crashes;
    count.last = now;
}

auto Quarantine::answered(Fingerprint fingerprint) -> void
{
    if (!m_own.empty()) {
        m_own.erase(fingerprint);
    }
}

auto Quarantine::takeElsewhere(std::string_view host, const std::vector<SuspectedCrash>& crashes, Instant now) -> void
{
    auto counts = std::map<Fingerprint, Count>();
    for (const auto& crash : crashes) {
        counts[crash.fingerprint] = Count{.crashes = crash.crashes, .last = now};
    }
    if (counts.empty()) {
        m_elsewhere.erase(std::string(host));
        return;
    }
    m_elsewhere[std::string(host)] = std::move(counts);
}

auto Quarantine::isHeld(Fingerprint fingerprint, Instant now) const -> bool
{
    auto crashes = std::uint32_t{0};
    const auto add = [&](const std::map<Fingerprint, Count>& counts) {
        const auto found = counts.find(fingerprint);
        crashes += found != counts.end() && now < found->second.last + s_memory ? found->second.crashes : 0;
    };
    add(m_own);
    for (const auto& [host, counts] : m_elsewhere) {
        add(counts);
    }
    return crashes >= s_crashesHeld;
}

auto Quarantine::toTell(Instant now) const -> std::vector<SuspectedCrash>
{
    auto crashes = std::vector<SuspectedCrash>();
    for (const auto& [fingerprint, count] : m_own) {
        if (now < count.last + s_memory) {
            crashes.push_back({.fingerprint = fingerprint, .crashes = count.crashes});
        }
    }
    return crashes;
}

auto Quarantine::removeExpired(Instant now) -> void
{
    std::erase_if(m_own, [now](const auto& entry) { return entry.second.last + s_memory < now; });
}

} // namespace laburnummill::serving
