#pragma once

#include "accounts/accounterrors.h"
#include "framework/global/async.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::accounts {

/// Name of the key list in gossip, among the platform's heads and in calls to gossip::IConfirmations.
inline constexpr auto s_keysDocument = std::string_view("keys");

/// A caller authenticated by a key.
struct Caller
{
    std::string account;
    std::string keyHash; ///< SHA-256, hexadecimal

    auto operator==(const Caller&) const -> bool = default;
};

/// One entry of the key list.
struct KeyEntry
{
    std::string keyHash;
    std::string account;
    std::uint64_t version = 0; ///< version of the key list in which the entry last changed
    bool withdrawn = false;

    auto operator==(const KeyEntry&) const -> bool = default;
};

/// Callers' API keys; only their hashes are stored.
class IKeys
{
public:
    static constexpr std::string_view s_serviceName = "accounts.keys";

    virtual ~IKeys() = default;

    /// Returns the caller to whom `key` was issued. Errors: see AccountError.
    virtual auto authenticate(std::string_view key) const -> framework::Result<Caller> = 0;

    /// Whether the caller's key is still valid; false once it was withdrawn. For checks on requests already running.
    virtual auto isValid(const Caller& caller) const -> bool = 0;

    /// Issues a key with this hash to an account. Returns the version of the list that contains it.
    /// Errors: KeyExists if the hash belongs to another account or was withdrawn; the platform's OutcomeUnknown if the
    /// outcome could not be determined in time.
    virtual auto issue(std::string keyHash, std::string account) -> framework::AsyncResult<std::uint64_t> = 0;

    /// Withdraws the key with this hash permanently. Returns the version of the list that contains the withdrawal.
    /// Errors: KeyUnknown if there is no such key; the platform's OutcomeUnknown if the outcome could not be determined in
    /// time.
    virtual auto withdraw(std::string keyHash) -> framework::AsyncResult<std::uint64_t> = 0;

    virtual auto entries() const -> std::vector<KeyEntry> = 0;

    /// Version of the key list in force on this host; 0 if there is none yet.
    virtual auto version() const -> std::uint64_t = 0;

    /// Registers `handler`, which is called after each increase of the version.
    virtual auto onChange(std::function<void()> handler) -> void = 0;
};

} // namespace laburnummill::accounts
