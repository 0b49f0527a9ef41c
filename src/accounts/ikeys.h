#pragma once

#include "accounts/accounterrors.h"
#include "framework/global/async.h"

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace laburnummill::accounts {

/// The list's name in gossip and among the heads; for gossip::IConfirmations.
inline constexpr auto s_keysDocument = std::string_view("keys");

/// A caller who has shown a key.
struct Caller
{
    std::string account;
    std::string keyHash; ///< SHA-256, hexadecimal

    auto operator==(const Caller&) const -> bool = default;
};

/// One key as operators see it.
struct KeyEntry
{
    std::string keyHash;
    std::string account;
    std::uint64_t version = 0; ///< the key list's version of its last change
    bool withdrawn = false;

    auto operator==(const KeyEntry&) const -> bool = default;
};

/// Callers' keys, known only by their hashes.
class IKeys
{
public:
    static constexpr std::string_view s_serviceName = "accounts.keys";

    virtual ~IKeys() = default;

    /// The caller to whom `key` was given.
    virtual auto authenticate(std::string_view key) const -> framework::Result<Caller> = 0;

    /// False once the key was withdrawn; for requests already running.
    virtual auto isValid(const Caller& caller) const -> bool = 0;

    /// Gives a key with this hash to an account. Yields the list's version in which it holds.
    /// KeyExists where the hash is another account's or was withdrawn; the platform's OutcomeUnknown where it did not
    /// tell in time.
    virtual auto issue(std::string keyHash, std::string account) -> framework::AsyncResult<std::uint64_t> = 0;

    /// Withdraws the key with this hash for good. Yields the list's version in which it holds. KeyUnknown where there is
    /// none; the platform's OutcomeUnknown where it did not tell in time.
    virtual auto withdraw(std::string keyHash) -> framework::AsyncResult<std::uint64_t> = 0;

    virtual auto entries() const -> std::vector<KeyEntry> = 0;

    /// Version of the key list in force on this host; 0 before any is known.
    virtual auto version() const -> std::uint64_t = 0;

    /// Calls `handler` after each rise of the version.
    virtual auto onChange(std::function<void()> handler) -> void = 0;
};

} // namespace laburnummill::accounts
