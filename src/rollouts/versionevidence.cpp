#include "rollouts/versionevidence.h"

#include "framework/global/digest.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace laburnummill::rollouts {

namespace {

using framework::Instant;

/// Bound of the test's sum: a good version reaches it in fewer than one of a thousand rollouts of 100,000 responses.
constexpr auto s_badBound = 12.0;

/// Below this sum nothing points to a fault.
constexpr auto s_goodBound = 4.0;

constexpr auto s_enoughResponses = std::uint64_t{40};

/// Differences of the shares of bad responses that the two tests look for: most faults, and rare ones.
constexpr auto s_largeDifference = 0.2;
constexpr auto s_smallDifference = 0.06;

/// The share of bad responses that counts as usual is this factor and this addition above that of the old version: caches of new servers
/// are empty, and the old version's share is an estimate.
constexpr auto s_usualFactor = 1.5;
constexpr auto s_usualAddition = 0.02;
constexpr auto s_mostUsual = 0.6;

/// Presumed responses of the old version, of which one in twenty is bad.
constexpr auto s_presumedResponses = 10.0;
constexpr auto s_presumedBad = 0.5;

/// Time constant for which responses of the old version count.
constexpr auto s_memorySeconds = 3.0;

auto difference(std::uint64_t now, std::uint64_t before) -> std::uint64_t
{
    return now - std::min(now, before);
}

/// Adds what has come since `before` to `sum`.
auto addSince(VersionCounts& sum, const VersionCounts& now, const VersionCounts& before) -> void
{
    for (auto group = std::size_t{0}; group < s_serverGroups; ++group) {
        const auto responses = difference(now[group].responses, before[group].responses);
        sum[group].responses += responses;
        sum[group].bad += std::min(difference(now[group].bad, before[group].bad), responses);
    }
}

auto totalOf(const VersionCounts& counts) -> ResponseCounts
{
    auto total = ResponseCounts();
    for (const auto& group : counts) {
        total.responses += group.responses;
        total.bad += group.bad;
    }
    return total;
}

} // namespace

auto countResponse(VersionCounts& counts, std::string_view server, bool isBad) -> void
{
    auto& group = counts[framework::hash64(server) % s_serverGroups];
    ++group.responses;
    group.bad += isBad ? 1 : 0;
}

auto VersionEvidence::record(const std::string& host, std::uint64_t incarnation, const OutcomeCounts& counts) -> void
{
    auto& known = m_hosts[host];
    if (known.incarnation != incarnation) {
        known = {.incarnation = incarnation, .counts = {}};
    }
    for (const auto& [route, now] : counts) {
        const auto& before = known.counts[route];
        auto& evidence = m_routes[route];
        addSince(evidence.since.newVersion, now.newVersion, before.newVersion);
        addSince(evidence.since.oldVersion, now.oldVersion, before.oldVersion);
    }
    known.counts = counts;
}

auto VersionEvidence::advance(Sums& sums, const VersionCounts& counts, double usualShare, double difference) -> void
{
    const auto badShare = usualShare + difference;
    const auto ofBad = std::log(badShare / usualShare);
    const auto ofGood = std::log((1 - badShare) / (1 - usualShare));
    const auto total = totalOf(counts);
    for (auto group = std::size_t{0}; group < s_serverGroups; ++group) {
        const auto bad = static_cast<double>(total.bad - counts[group].bad);
        const auto good = static_cast<double>(total.responses - counts[group].responses) - bad;
        sums[group] = std::max(0.0, sums[group] + bad * ofBad + good * ofGood);
    }
}

auto VersionEvidence::lowest(const Sums& sums) const -> double
{
    if (std::ranges::count(m_isUsed, true) <= 1) {
        return std::ranges::max(sums); // With one group of servers its faults are those of the version.
    }
    auto lowest = std::numeric_limits<double>::max();
    for (auto group = std::size_t{0}; group < s_serverGroups; ++group) {
        lowest = m_isUsed[group] ? std::min(lowest, sums[group]) : lowest;
    }
    return lowest;
}

auto VersionEvidence::evaluate(Instant now) -> EvidenceVerdict
{
    const auto left = std::exp(-std::chrono::duration<double>(now - m_evaluatedAt).count() / s_memorySeconds);
    m_evaluatedAt = now;
    auto highest = 0.0;
    for (auto& [route, evidence] : m_routes) {
        const auto counts = std::exchange(evidence.since, {});
        const auto oldTotal = totalOf(counts.oldVersion);
        evidence.oldResponses = evidence.oldResponses * left + static_cast<double>(oldTotal.responses);
        evidence.oldBad = evidence.oldBad * left + static_cast<double>(oldTotal.bad);
        const auto oldShare = (evidence.oldBad + s_presumedBad) / (evidence.oldResponses + s_presumedResponses);
        const auto usual = std::min(oldShare * s_usualFactor + s_usualAddition, s_mostUsual);
        for (auto group = std::size_t{0}; group < s_serverGroups; ++group) {
            m_isUsed[group] = m_isUsed[group] || counts.newVersion[group].responses > 0;
        }
        advance(evidence.large, counts.newVersion, usual, s_largeDifference);
        advance(evidence.small, counts.newVersion, usual, s_smallDifference);
        highest = std::max({highest, lowest(evidence.large), lowest(evidence.small)});
        const auto newTotal = totalOf(counts.newVersion);
        m_newResponses += newTotal.responses;
        m_newBad += newTotal.bad;
    }
    if (m_verdict == EvidenceVerdict::Bad || highest >= s_badBound) {
        m_verdict = EvidenceVerdict::Bad; // Final: a version that was bad for a while is not rolled out.
    } else {
        m_verdict = m_newResponses >= s_enoughResponses && highest < s_goodBound ? EvidenceVerdict::Good : EvidenceVerdict::Open;
    }
    return m_verdict;
}

} // namespace laburnummill::rollouts
