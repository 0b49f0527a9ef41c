#include "scheduling/crashhistory.h"

#include "framework/global/digest.h"

#include <algorithm>

namespace laburnummill::scheduling {

namespace {

using framework::Instant;
using framework::Milliseconds;

/// One or two servers may fail by coincidence during a request; with three, the request is the likely cause.
constexpr auto s_blockingCrashes = std::uint32_t{3};

/// A request that crashes servers is repeated within seconds; after one minute the cause may have been fixed.
constexpr auto s_retention = Milliseconds(60'000);

/// Hosts notice the failure of a server, and report it, at times that differ by less than this. A server takes seconds to return.
constexpr auto s_sameCrash = Milliseconds(1'500);

} // namespace

auto fingerprintOf(std::string_view account, std::string_view target, std::string_view text) -> Fingerprint
{
    return framework::hash64(text, framework::hash64(target, framework::hash64(account)));
}

auto CrashHistory::recordCrash(Fingerprint fingerprint, std::uint32_t server, Instant now) -> void
{
    addCrash(fingerprint, {.server = server, .at = now, .isOwn = true});
}

auto CrashHistory::recordAnswer(Fingerprint fingerprint, Instant now) -> void
{
    const auto found = m_requests.find(fingerprint);
    if (found != m_requests.end()) {
        addAnswer(found->second, now, true);
    }
}

auto CrashHistory::merge(const std::vector<CrashReport>& reports, Instant now) -> void
{
    for (const auto& report : reports) {
        const auto at = now - report.age;
        if (report.age >= s_retention) {
            continue;
        }
        if (report.isAnswered) {
            addAnswer(m_requests[report.fingerprint], at, false);
        } else {
            addCrash(report.fingerprint, {.server = report.server, .at = at});
        }
    }
}

auto CrashHistory::setCount(std::string_view host, Fingerprint fingerprint, std::uint32_t crashes, Instant now) -> void
{
    m_requests[fingerprint].counts[std::string(host)] = {crashes, now};
}

auto CrashHistory::addCrash(Fingerprint fingerprint, const Crash& crash) -> void
{
    auto& requests = m_requests[fingerprint];
    const auto known = std::ranges::find_if(requests.crashes, [&crash](const Crash& other) {
        return other.server == crash.server && std::chrono::abs(other.at - crash.at) < s_sameCrash;
    });
    if (known != requests.crashes.end()) {
        known->isOwn = known->isOwn || crash.isOwn;
    } else if (crash.at > requests.answeredAt) {
        requests.crashes.push_back(crash);
    }
}

auto CrashHistory::addAnswer(Requests& requests, Instant at, bool isHere) -> void
{
    if (at > requests.answeredAt) {
        requests.answeredAt = at;
        requests.isAnsweredHere = isHere;
    }
    std::erase_if(requests.crashes, [&requests](const Crash& crash) { return crash.at <= requests.answeredAt; });
    std::erase_if(requests.counts, [&requests](const auto& count) { return count.second.second <= requests.answeredAt; });
}

auto CrashHistory::isBlocked(Fingerprint fingerprint, Instant now) const -> bool
{
    return crashes(fingerprint, now) >= s_blockingCrashes;
}

auto CrashHistory::crashes(Fingerprint fingerprint, Instant now) const -> std::uint32_t
{
    const auto found = m_requests.find(fingerprint);
    if (found == m_requests.end()) {
        return 0;
    }
    auto count = static_cast<std::uint32_t>(
        std::ranges::count_if(found->second.crashes, [now](const Crash& crash) { return now < crash.at + s_retention; }));
    for (const auto& [host, counted] : found->second.counts) {
        count += now < counted.second + s_retention ? counted.first : 0;
    }
    return count;
}

auto CrashHistory::reports(std::size_t limit, Instant now) const -> std::vector<CrashReport>
{
    auto found = std::vector<CrashReport>();
    const auto add = [&found, now](Fingerprint fingerprint, std::uint32_t server, Instant at, bool isAnswered) {
        const auto age = std::chrono::duration_cast<Milliseconds>(now - at);
        if (at != Instant{} && age < s_retention) {
            found.push_back({.fingerprint = fingerprint, .server = server, .age = age, .isAnswered = isAnswered});
        }
    };
    for (const auto& [fingerprint, requests] : m_requests) {
        if (requests.isAnsweredHere) {
            add(fingerprint, 0, requests.answeredAt, true);
        }
        for (const auto& crash : requests.crashes) {
            if (crash.isOwn || requests.crashes.size() > 1) {
                add(fingerprint, crash.server, crash.at, false);
            }
        }
    }
    std::ranges::sort(found, {}, &CrashReport::age);
    found.resize(std::min(found.size(), limit));
    return found;
}

auto CrashHistory::removeExpired(Instant now) -> void
{
    const auto isOld = [now](Instant at) { return at + s_retention < now; };
    for (auto& [fingerprint, requests] : m_requests) {
        std::erase_if(requests.crashes, [&isOld](const Crash& crash) { return isOld(crash.at); });
        std::erase_if(requests.counts, [&isOld](const auto& count) { return isOld(count.second.second); });
    }
    std::erase_if(m_requests, [&isOld](const auto& entry) {
        const auto& requests = entry.second;
        return requests.crashes.empty() && requests.counts.empty() && isOld(requests.answeredAt);
    });
}

} // namespace laburnummill::scheduling
