#pragma once

#include "configuration/iconfiguration.h"
#include "configuration/internal/configurationstore.h"
#include "gossip/igossip.h"
#include "gossip/monotonicversion.h"

#include <vector>

namespace laburnummill::configuration {

/// Holds the highest known version of the configuration and writes changes to the platform.
class ConfigurationManager final : public IConfiguration
{
public:
    ConfigurationManager(std::shared_ptr<ConfigurationStore> store, std::shared_ptr<gossip::IGossip> gossip, ChangePolicy policy = {});

    auto current() const -> std::shared_ptr<const Configuration> override { return m_current; }
    auto onChange(std::function<void()> handler) -> void override { m_handlers.push_back(std::move(handler)); }
    auto apply(framework::Json document, std::uint64_t expected) -> framework::AsyncResult<std::uint64_t> override;

    /// Reads the platform's document and puts it in force if its version is higher.
    auto refresh() -> framework::AsyncResult<void>;

    /// Puts `document` in force if it is valid and its version is higher than the one in force.
    auto offer(const framework::Json& document) -> void;

    /// The document in force, as sent to peers.
    auto document() const -> gossip::VersionedDocument { return {m_version.version(), m_body}; }
    auto offerDocument(const gossip::VersionedDocument& document) -> void;

    auto version() const -> std::uint64_t { return m_version.version(); }

    /// Returns the version and the number of rejected lower versions for the state dump.
    auto dump() const -> framework::Json;

private:
    auto readOnce(ChangeAttempt& attempt) -> framework::Async<ChangeStep>;
    auto writeOnce(framework::Json document, ChangeAttempt& attempt) -> framework::Async<ChangeStep>;

    std::shared_ptr<ConfigurationStore> m_store;
    std::shared_ptr<gossip::IGossip> m_gossip;
    ChangePolicy m_policy;
    gossip::MonotonicVersion m_version;
    std::shared_ptr<const Configuration> m_current;
    std::string m_body;
    std::error_code m_lastFailure;
    std::vector<std::function<void()>> m_handlers;
};

} // namespace laburnummill::configuration
