#pragma once

#include "backends/backendregistry.h"
#include "rollouts/rollouttypes.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace laburnummill::rollouts {

/// Restricts the servers of a service by their versions while and after a rollout.
class VersionFilter
{
public:
    /// Takes the versions of all known servers of the service; to be called whenever they may have changed.
    auto observe(const std::vector<backends::BackendPtr>& servers, framework::Instant now) -> void;

    /// The version that serves apart from a rollout; nullopt while no server is known.
    auto servingVersion() const -> const std::optional<std::string>& { return m_servingVersion; }

    /// Takes which version serves by the state of a rollout, also of an earlier one.
    auto setServingVersion(const RolloutProgress& progress, framework::Instant now) -> void;

    /// Takes the state of the rollout. Before the first order there is none.
    auto setProgress(const RolloutProgress& progress, framework::Instant now) -> void;

    /// The servers that a chain of turns, or a request by itself, may use; `chain` is its id. A chain uses the same version throughout a
    /// stage. Requests that were already tried at a server (`isRetry`) do not try the new version again.
    auto allowed(const std::vector<backends::BackendPtr>& servers, std::string_view chain, bool isRetry) const
        -> std::vector<backends::BackendPtr>;

private:
    struct KnownVersion
    {
        std::int64_t startedAt = 0; ///< of its first server
        std::size_t number = 0;     ///< in the order in which versions became known
        framework::Instant seenAt{};
    };

    auto isNewVersion(const backends::Backend& server) const -> bool;
    auto newServers(std::vector<backends::BackendPtr> servers) const -> std::vector<backends::BackendPtr>;
    auto chooseServingVersion(framework::Instant now) -> void;

    std::map<std::string, KnownVersion> m_versions;
    std::optional<RolloutProgress> m_progress;
    std::optional<std::string> m_servingVersion;
    std::optional<std::string> m_statedVersion; ///< the serving version by the state of a rollout
    framework::Instant m_statedAt{};
};

} // namespace laburnummill::rollouts
