#pragma once

#include "accounts/ikeys.h"
#include "framework/global/json.h"
#include "gossip/iconfirmations.h"
#include "gossip/igossip.h"
#include "gossip/monotonicversion.h"
#include "platform/itableservice.h"

#include <map>
#include <memory>

namespace laburnummill::accounts {

/// Mechanisms that tests switch off to check that an invariant is then violated.
struct KeyPolicy
{
    bool rejectsLowerVersion = true; ///< ignores a list with a lower version than the current one
};

/// Services that the key ring depends on.
struct KeyServices
{
    std::shared_ptr<platform::ITableService> tables;
    std::shared_ptr<gossip::IGossip> gossip;
    std::shared_ptr<gossip::IExternalContact> contact;
};

/// The key list, stored in one row of the platform. The highest version received so far is in force. Withdrawn keys stay in
/// the list, so that a list contains all changes and a peer can be sent just the entries that it lacks.
class KeyRing final : public IKeys
{
public:
    /// Keys are accepted for `trustPeriod` after the last contact with anything outside the data centre.
    KeyRing(KeyServices services, framework::Milliseconds trustPeriod, KeyPolicy policy = {});

    auto authenticate(std::string_view key) const -> framework::Result<Caller> override;
    auto isValid(const Caller& caller) const -> bool override;
    auto issue(std::string keyHash, std::string account) -> framework::AsyncResult<std::uint64_t> override;
    auto withdraw(std::string keyHash) -> framework::AsyncResult<std::uint64_t> override;
    auto entries() const -> std::vector<KeyEntry> override;
    auto version() const -> std::uint64_t override { return m_version.version(); }
    auto onChange(std::function<void()> handler) -> void override { m_handlers.push_back(std::move(handler)); }

    /// Reads the list from the platform.
    auto refresh() -> framework::AsyncResult<void>;

    /// Applies a whole list, or the changes since a version that is not above the current one. Ignores lower versions.
    auto offer(const framework::Json& document) -> void;
    auto offerDocument(const gossip::VersionedDocument& document) -> void;

    /// Returns the entries changed after version `since`; the whole list for 0.
    auto changesSince(std::uint64_t since) const -> gossip::VersionedDocument;

    /// Counts and versions for the state dump; contains no hashes.
    auto dump() const -> framework::Json;

private:
    using Entries = std::map<std::string, KeyEntry, std::less<>>;

    /// The list as read from the platform before a change.
    struct StoredList
    {
        Entries entries;
        std::uint64_t version = 0;
        std::uint64_t rowVersion = 0;
    };

    /// Checks a change against the platform's list. Returns the version that contains the change if it was made before,
    /// nullopt if it is still to be made, or an error if it is not allowed. May complete the entry to be written.
    using ChangeCheck = std::function<framework::Result<std::optional<std::uint64_t>>(const Entries&, KeyEntry&)>;

    auto read() -> framework::AsyncResult<StoredList>;
    auto write(const StoredList& stored, const KeyEntry& entry) -> framework::AsyncResult<std::uint64_t>;
    auto change(KeyEntry entry, ChangeCheck check) -> framework::AsyncResult<std::uint64_t>;

    KeyServices m_services;
    framework::Milliseconds m_trustPeriod;
    Entries m_entries;
    gossip::MonotonicVersion m_version;
    std::vector<std::function<void()>> m_handlers;
};

} // namespace laburnummill::accounts
