#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace laburnummill::gossip {

/// A document of which only the highest version is in force. Version 0 means that no version is known.
struct VersionedDocument
{
    std::uint64_t version = 0;
    std::string body;

    auto operator==(const VersionedDocument&) const -> bool = default;
};

/// Callbacks by which gossip reads a module's document and passes on documents received from peers.
struct DocumentHooks
{
    /// Returns the document in force on this host.
    std::function<VersionedDocument()> current;

    /// Passes a peer's document to the module, which keeps the higher version.
    std::function<void(const VersionedDocument&)> offer;

    /// Optional: returns only the version in force, for documents that are expensive to build.
    std::function<std::uint64_t()> version = {};

    /// Optional: returns the changes after version `since`, in a form that `offer` accepts.
    std::function<VersionedDocument(std::uint64_t since)> changesSince = {};
};

/// Spreads versioned documents to all reachable hosts. Digests are exchanged every second; changes are pushed at once.
class IGossip
{
public:
    static constexpr std::string_view s_serviceName = "gossip.gossip";

    virtual ~IGossip() = default;

    /// Registers a document under its name, e.g. "configuration", "keys", "view/sofia-1".
    virtual auto addDocument(std::string name, DocumentHooks hooks) -> void = 0;

    /// Announces to peers at once that the document has changed on this host.
    virtual auto push(std::string_view name) -> void = 0;

    /// The last version that each host reported as in force, by host name; 0 if none was reported.
    virtual auto reportedVersions(std::string_view name) const -> std::map<std::string, std::uint64_t> = 0;
};

} // namespace laburnummill::gossip
