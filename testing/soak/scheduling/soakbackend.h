#pragma once

#include "scheduling/internal/dispatchertypes.h"

#include <set>

namespace laburnummill::testing {

/// A back end of the randomised run: knows its true state and counts what it is given.
class SoakBackend
{
public:
    explicit SoakBackend(scheduling::EngineSpec spec)
        : m_spec(std::move(spec))
    {}

    /// A request arrives.
    auto admit(const scheduling::PermitKey& key, framework::Instant now) -> void;

    auto finish(const scheduling::PermitKey& key) -> bool { return m_running.erase(key) > 0; }

    /// Everything that runs breaks off; the next life begins cold and stays so until `warmAt`. Yields what broke off.
    auto restart(framework::Instant now, framework::Instant warmAt) -> std::set<scheduling::PermitKey>;

    /// From now on the cold start is known to the dispatcher, or would be to one that looks.
    auto coldKnown() -> void { m_coldKnown = true; }

    /// Begins or ends a drain that is in force from `inForce` on.
    auto setLeaving(bool isDrained, framework::Instant inForce) -> void;

    auto report(framework::Instant now) const -> scheduling::EngineReport;
    auto spec() const -> const scheduling::EngineSpec& { return m_spec; }
    auto life() const -> std::uint64_t { return m_life; }
    auto running() const -> const std::set<scheduling::PermitKey>& { return m_running; }
    auto beyondBound() const -> std::uint64_t { return m_beyondBound; }
    auto whileLeaving() const -> std::uint64_t { return m_whileLeaving; }

private:
    scheduling::EngineSpec m_spec;
    std::set<scheduling::PermitKey> m_running;
    std::uint64_t m_life = 1;
    framework::Instant m_warmAt;
    framework::Instant m_leavingInForce;
    bool m_coldKnown = true;
    std::uint64_t m_beyondBound = 0;
    std::uint64_t m_whileLeaving = 0;
};

} // namespace laburnummill::testing
