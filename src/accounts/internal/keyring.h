#pragma once

#include "accounts/ikeys.h"
#include "framework/global/json.h"
#include "gossip/iconfirmations.h"
#include "gossip/igossip.h"
#include "gossip/risingversion.h"
#include "platform/itableservice.h"

#include <map>
#include <memory>

namespace laburnummill::accounts {

/// Mechanisms that tests switch off in order to see an invariant trip.
struct KeyPolicy
{
    bool rejectsLowerVersion = true; ///< a list with a lower version is not taken over
};

/// What the key ring rests on.
struct KeyServices
{
    std::shared_ptr<platform::ITableService> tables;
    std::shared_ptr<gossip::IGossip> gossip;
    std::shared_ptr<gossip::IContact> contact;
};

/// The list of keys: one row of the platform, the highest version heard of in force. A key once withdrawn stays in the
/// list, so that a list is the sum of all changes and a peer can be sent just those that it lacks.
class KeyRing final : public IKeys
{
public:
    /// Keys are trusted for `trustPeriod` after the last contact with anything outside the data centre.
    KeyRing(KeyServices services, framework::Milliseconds trustPeriod, KeyPolicy policy = {});

    auto authenticate(std::string_view key) const -> framework::Result<Caller> override;
    auto isValid(const Caller& caller) const -> bool override;
    auto issue(std::string keyHash, std::string account) -> framework::AsyncResult<std::uint64_t> override;
    auto withdraw(std::string keyHash) -> framework::AsyncResult<std::uint64_t> override;
    auto entries() const -> std::vector<KeyEntry> override;
    auto version() const -> std::uint64_t override { return m_version.version(); }
    auto onChange(std::function<void()> handler) -> void override { m_handlers.push_back(std::move(handler)); }

    auto refresh() -> framework::AsyncResult<void>;

    /// Takes a list, or what was changed since a version not above ours.
    auto offer(const framework::Json& document) -> void;
    auto offerDocument(const gossip::VersionedDocument& document) -> void;

    /// What a host that has version `since` lacks.
    auto changesSince(std::uint64_t since) const -> gossip::VersionedDocument;

    /// Counts and versions for the state dump; no hashes.
    auto dump() const -> framework::Json;

private:
    using Entries = std::map<std::string, KeyEntry, std::less<>>;

    /// The platform's list as read for a change.
    struct StoredList
    {
        Entries entries;
        std::uint64_t version = 0;
        std::uint64_t rowVersion = 0;
    };

    /// Whether a change is to be made on what the platform holds: the version in which it holds already, nothing where
    /// it does not hold, or why it must not be made.
    using ChangeCheck = std::function<framework::Result<std::optional<std::uint64_t>>(const Entries&, KeyEntry&)>;

    auto read() -> framework::AsyncResult<StoredList>;
    auto write(const StoredList& stored, const KeyEntry& entry) -> framework::AsyncResult<std::uint64_t>;
    auto change(KeyEntry entry, ChangeCheck check) -> framework::AsyncResult<std::uint64_t>;

    KeyServices m_services;
    framework::Milliseconds m_trustPeriod;
    Entries m_entries;
    gossip::RisingVersion m_version;
    std::vector<std::function<void()>> m_handlers;
};

} // namespace laburnummill::accounts
