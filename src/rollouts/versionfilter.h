#pragma once

#include "backends/backendregistry.h"
#include "rollouts/rollouttypes.h"

#include <optional>
#include <string>
#include <vector>

namespace laburnummill::rollouts {

/// Restricts the servers of a service by their versions while and after a rollout.
class VersionFilter
{
public:
    /// Takes the versions of the known servers of the service; to be called whenever they may have changed.
    auto observe(const std::vector<backends::BackendPtr>& servers, framework::Instant now) -> void;

    /// Takes the state of the rollout. Before the first order there is none.
    auto setProgress(const RolloutProgress& progress, framework::Instant now) -> void;

    /// The servers that a chain of turns, or a request by itself, may use; `chain` is its id. A chain uses the same version throughout a
    /// stage. Requests that were already tried at a server (`isRetry`) do not try the new version again.
    auto allowed(const std::vector<backends::BackendPtr>& servers, std::string_view chain, bool isRetry, framework::Instant now) const
        -> std::vector<backends::BackendPtr>;

private:
    auto isNewVersion(const backends::Backend& server) const -> bool;
    auto newServers(std::vector<backends::BackendPtr> servers) const -> std::vector<backends::BackendPtr>;
    auto isUnannounced(const std::string& version, framework::Instant now) const -> bool;

    std::map<std::string, framework::Instant> m_versions; ///< when each version was first seen
    std::optional<RolloutProgress> m_progress;
    framework::Instant m_orderedAt{}; ///< when the current order became known
};

} // namespace laburnummill::rollouts
