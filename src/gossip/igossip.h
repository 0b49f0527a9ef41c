#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::gossip {

/// A document of which only the highest version counts. Version 0: none is known.
struct VersionedDocument
{
    std::uint64_t version = 0;
    std::string body;

    auto operator==(const VersionedDocument&) const -> bool = default;
};

/// How a module gives its document to gossip and takes a peer's.
struct DocumentHooks
{
    /// The document in force here.
    std::function<VersionedDocument()> current;

    /// Takes a peer's document; the module keeps the higher version.
    std::function<void(const VersionedDocument&)> offer;

    /// The version in force here, where making the whole document costs more; may be left out.
    std::function<std::uint64_t()> version = {};

    /// What a host that has version `since` lacks, in a form that `offer` takes; may be left out.
    std::function<VersionedDocument(std::uint64_t since)> changesSince = {};
};

/// Spreads versioned documents to all reachable hosts: digests every second, changes pushed at once.
class IGossip
{
public:
    static constexpr std::string_view s_serviceName = "gossip.gossip";

    virtual ~IGossip() = default;

    /// Adds a document under its name, e.g. "configuration", "keys", "view/sofia-1".
    virtual auto addDocument(std::string name, DocumentHooks hooks) -> void = 0;

    /// Tells peers at once that the document has changed here.
    virtual auto push(std::string_view name) -> void = 0;

    /// The version that each host was last heard to have in force, by host name.
    virtual auto reportedVersions(std::string_view name) const -> std::map<std::string, std::uint64_t> = 0;
};

} // namespace laburnummill::gossip
