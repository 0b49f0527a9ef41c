#include "accounts/internal/keyring.h"

#include "accounts/internal/keylist.h"
#include "framework/global/asyncqueue.h"
#include "framework/global/digest.h"
#include "framework/logging/log.h"
#include "platform/iheads.h"

namespace laburnummill::accounts {

using framework::AsyncResult;
using framework::Json;
using framework::Result;
using framework::success;
using platform::PlatformError;

namespace {

constexpr auto s_maxKeyLength = std::size_t{512};
constexpr auto s_maxAttempts = 12;
constexpr auto s_maxFailedReads = 5;
constexpr auto s_retryDelay = framework::Milliseconds(200);

auto rowKey() -> platform::RowKey
{
    return {std::string(s_keysDocument), "current"};
}

auto isCertainlyNotApplied(const std::error_code& error) -> bool
{
    return error == PlatformError::Unavailable || error == PlatformError::TooManyRequests;
}

} // namespace

KeyRing::KeyRing(KeyServices services, framework::Milliseconds trustPeriod, KeyPolicy policy)
    : m_services(std::move(services))
    , m_trustPeriod(trustPeriod)
    , m_version(policy.rejectsLowerVersion)
{}

auto KeyRing::authenticate(std::string_view key) const -> Result<Caller>
{
    if (key.empty()) {
        return AccountError::KeyMissing;
    }
    if (key.size() > s_maxKeyLength) {
        return AccountError::KeyMalformed;
    }
    if (version() == 0 || m_services.contact->contactAge() > m_trustPeriod) {
        return AccountError::KeysUnknown;
    }
    const auto found = m_entries.find(framework::sha256Hex(key));
    if (found == m_entries.end()) {
        return AccountError::KeyUnknown;
    }
    if (found->second.withdrawn) {
        return AccountError::KeyWithdrawn;
    }
    return Caller{found->second.account, found->first};
}

auto KeyRing::isValid(const Caller& caller) const -> bool
{
    const auto found = m_entries.find(caller.keyHash);
    return found != m_entries.end() && !found->second.withdrawn && found->second.account == caller.account;
}

auto KeyRing::entries() const -> std::vector<KeyEntry>
{
    auto entries = std::vector<KeyEntry>();
    for (const auto& [hash, entry] : m_entries) {
        entries.push_back(entry);
    }
    return entries;
}

auto KeyRing::offer(const Json& document) -> void
{
    const auto offered = keyListFromJson(document);
    // NOTE Changes since a version above the current one would leave a gap.
    if (offered.since > version() || !m_version.tryAdvance(offered.version)) {
        return;
    }
    for (const auto& entry : offered.entries) {
        auto& held = m_entries[entry.keyHash];
        if (entry.version >= held.version) {
            held = entry;
        }
    }
    framework::logEvent(framework::LogLevel::Info, "accounts", "keys_in_force", {{"version", version()}, {"keys", m_entries.size()}});
    const auto handlers = m_handlers;
    for (const auto& handler : handlers) {
        handler();
    }
}

auto KeyRing::offerDocument(const gossip::VersionedDocument& document) -> void
{
    const auto offered = framework::parseJson(document.body).value_or(Json::object());
    if (keyListFromJson(offered).version == document.version) {
        offer(offered);
    }
}

auto KeyRing::changesSince(std::uint64_t since) const -> gossip::VersionedDocument
{
    auto list = KeyList{version(), since, {}};
    for (const auto& [hash, entry] : m_entries) {
        if (entry.version > since || since == 0) {
            list.entries.push_back(entry);
        }
    }
    return {version(), framework::dumpJson(toJson(list))};
}

auto KeyRing::refresh() -> AsyncResult<void>
{
    BOOST_OUTCOME_CO_TRYV(co_await read());
    co_return success();
}

auto KeyRing::read() -> AsyncResult<StoredList>
{
    BOOST_OUTCOME_CO_TRY(const auto row, co_await m_services.tables->readOne(rowKey()));
    auto stored = StoredList();
    if (row) {
        const auto document = framework::parseJson(row->value).value_or(Json::object());
        const auto list = keyListFromJson(document);
        stored.version = list.version;
        stored.rowVersion = row->version;
        for (const auto& entry : list.entries) {
            stored.entries[entry.keyHash] = entry;
        }
        offer(document);
    }
    co_return stored;
}

auto KeyRing::write(const StoredList& stored, const KeyEntry& entry) -> AsyncResult<std::uint64_t>
{
    auto changed = stored.entries;
    changed[entry.keyHash] = entry;
    auto list = KeyList{entry.version, 0, {}};
    for (const auto& [hash, held] : changed) {
        list.entries.push_back(held);
    }
    const auto document = toJson(list);
    auto changes = std::vector<platform::RowChange>();
    changes.push_back({rowKey(), stored.rowVersion, framework::dumpJson(document)});
    changes.push_back(platform::headChange(std::string(s_keysDocument), entry.version));
    BOOST_OUTCOME_CO_TRYV(co_await m_services.tables->transact(std::move(changes)));
    offer(document);
    m_services.gossip->push(s_keysDocument);
    co_return entry.version;
}

auto KeyRing::change(KeyEntry entry, ChangeCheck check) -> AsyncResult<std::uint64_t>
{
    auto isOutcomeUnknown = false;
    auto failedReads = 0;
    auto lastFailure = std::error_code(PlatformError::Conflict);
    for (auto attempt = 0; attempt < s_maxAttempts; ++attempt) {
        if (attempt > 0) {
            co_await framework::sleepFor(s_retryDelay);
        }
        const auto stored = co_await read();
        if (!stored && !isOutcomeUnknown && ++failedReads >= s_maxFailedReads) {
            co_return stored.error();
        }
        // NOTE A list older than this host's is stale: a decision based on it could be wrong.
        if (!stored || stored.value().version < version()) {
            continue;
        }
        BOOST_OUTCOME_CO_TRY(const auto appliedVersion, check(stored.value().entries, entry));
        if (appliedVersion) {
            m_services.gossip->push(s_keysDocument);
            co_return *appliedVersion;
        }
        entry.version = stored.value().version + 1;
        const auto written = co_await write(stored.value(), entry);
        if (written) {
            co_return written.value();
        }
        lastFailure = written.error();
        if (isCertainlyNotApplied(lastFailure) && !isOutcomeUnknown) {
            co_return lastFailure;
        }
        isOutcomeUnknown = isOutcomeUnknown || lastFailure == PlatformError::OutcomeUnknown;
    }
    co_return isOutcomeUnknown ? std::error_code(PlatformError::OutcomeUnknown) : lastFailure;
}

auto KeyRing::issue(std::string keyHash, std::string account) -> AsyncResult<std::uint64_t>
{
    const auto check = [](const Entries& entries, KeyEntry& entry) -> Result<std::optional<std::uint64_t>> {
        const auto found = entries.find(entry.keyHash);
        if (found == entries.end()) {
            return std::nullopt;
        }
        // NOTE A withdrawn key is never issued again: a host that missed the withdrawal could not distinguish it from the
        // withdrawn one.
        if (found->second.withdrawn || found->second.account != entry.account) {
            return AccountError::KeyExists;
        }
        return found->second.version;
    };
    co_return co_await change({std::move(keyHash), std::move(account), 0, false}, check);
}

auto KeyRing::withdraw(std::string keyHash) -> AsyncResult<std::uint64_t>
{
    const auto check = [](const Entries& entries, KeyEntry& entry) -> Result<std::optional<std::uint64_t>> {
        const auto found = entries.find(entry.keyHash);
        if (found == entries.end()) {
            return AccountError::KeyUnknown;
        }
        if (found->second.withdrawn) {
            return found->second.version;
        }
        entry.account = found->second.account;
        return std::nullopt;
    };
    co_return co_await change({std::move(keyHash), {}, 0, true}, check);
}

auto KeyRing::dump() const -> Json
{
    return {
        {"version", version()},
        {"keys", m_entries.size()},
        {"lowerVersionsRefused", m_version.refused()},
        {"trustMs", m_trustPeriod.count()},
        {"contactAgeMs", m_services.contact->contactAge().count()},
    };
}

} // namespace laburnummill::accounts
