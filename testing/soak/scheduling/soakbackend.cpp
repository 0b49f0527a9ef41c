#include "testing/soak/scheduling/soakbackend.h"

#include <utility>

namespace laburnummill::testing {

using framework::Instant;
using scheduling::PermitKey;

auto SoakBackend::admit(const PermitKey& key, Instant now) -> void
{
    m_running.insert(key);
    const auto cold = now < m_warmAt && m_coldKnown;
    const auto bears = cold ? m_spec.coldConcurrency : m_spec.concurrency;
    m_beyondBound += m_running.size() > bears ? 1 : 0;
    m_whileLeaving += m_spec.isDrained && now >= m_leavingInForce ? 1 : 0;
}

auto SoakBackend::restart(Instant /*now*/, Instant warmAt) -> std::set<PermitKey>
{
    ++m_life;
    m_warmAt = warmAt;
    m_coldKnown = false;
    return std::exchange(m_running, {});
}

auto SoakBackend::setLeaving(bool isDrained, Instant inForce) -> void
{
    m_spec.isDrained = isDrained;
    m_leavingInForce = inForce;
}

auto SoakBackend::report(Instant now) const -> scheduling::EngineReport
{
    return {std::to_string(m_life), static_cast<std::uint32_t>(m_running.size()), 0, now < m_warmAt, {}};
}

} // namespace laburnummill::testing
