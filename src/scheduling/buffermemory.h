#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace laburnummill::scheduling {

/// One account of the bytes that a host buffers on behalf of others: requests of callers, responses of backend servers and messages of
/// other hosts. It bounds their sum, and what each owner may have of it: no more than half of what remains free then, so that several
/// greedy owners leave room for a further one. Used within one executor.
class BufferMemory
{
    struct Owner
    {
        std::size_t bytes = 0;
        int shares = 0;
    };
    using Owners = std::map<std::string, Owner, std::less<>>;

    struct Account
    {
        std::size_t capacity = 0;
        std::size_t used = 0;
        std::uint64_t denials = 0;
        Owners owners;
    };

public:
    /// Part of the memory, on behalf of one owner; released on destruction. May outlive the BufferMemory.
    class Share
    {
    public:
        Share() = default;
        Share(const BufferMemory& memory, std::string_view owner);
        Share(Share&& other) noexcept;
        auto operator=(Share&& other) noexcept -> Share&;
        Share(const Share&) = delete;
        auto operator=(const Share&) -> Share& = delete;
        ~Share();

        /// Adds `bytes`. Returns false, and adds nothing, if the owner may not have them.
        auto grow(std::size_t bytes) -> bool;

        /// Makes the share `bytes` large. Returns false, and changes nothing, if the owner may not have them; less is always possible.
        auto resize(std::size_t bytes) -> bool;

        /// Charges another owner from now on. Returns false, and changes nothing, if that one may not have the share's bytes.
        auto setOwner(std::string_view owner) -> bool;

        auto bytes() const -> std::size_t { return m_bytes; }

    private:
        std::shared_ptr<Account> m_account;
        Owners::iterator m_owner;
        std::size_t m_bytes = 0;
    };

    /// `hostBytes`: memory of the host.
    explicit BufferMemory(std::uint64_t hostBytes);

    /// Size of the largest response in bytes, so that several of them fit at the same time.
    auto maxResponse() const -> std::size_t;

    auto capacity() const -> std::size_t { return m_account->capacity; }
    auto used() const -> std::size_t { return m_account->used; }
    auto used(std::string_view owner) const -> std::size_t;

    /// How often an owner was denied memory since the start.
    auto denials() const -> std::uint64_t { return m_account->denials; }

private:
    std::shared_ptr<Account> m_account = std::make_shared<Account>();
};

} // namespace laburnummill::scheduling
