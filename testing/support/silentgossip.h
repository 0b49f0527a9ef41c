#pragma once

#include "gossip/iconfirmations.h"
#include "gossip/igossip.h"

namespace laburnummill::testing {

/// Gossip without peers: counts what is pushed.
class SilentGossip final : public gossip::IGossip, public gossip::IExternalContact
{
public:
    auto addDocument(std::string, gossip::DocumentHooks) -> void override {}
    auto push(std::string_view) -> void override { ++pushes; }
    auto reportedVersions(std::string_view) const -> std::map<std::string, std::uint64_t> override { return {}; }
    auto recordContact() -> void override { age = {}; }
    auto contactAge() const -> framework::Milliseconds override { return age; }

    int pushes = 0;
    framework::Milliseconds age{};
};

} // namespace laburnummill::testing
