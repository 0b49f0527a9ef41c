#include "scheduling/buffermemory.h"

#include <algorithm>
#include <utility>

namespace laburnummill::scheduling {

namespace {

/// The rest of a host's memory is for the program, its connections, retained turns, and copies of what is buffered.
constexpr auto s_hostMemoryParts = std::size_t{4};
constexpr auto s_minCapacity = std::size_t{16 * 1024 * 1024};

/// Number of largest responses that fit at the same time.
constexpr auto s_largestResponses = std::size_t{16};

template<class Owners>
auto enter(Owners& owners, std::string_view owner) -> typename Owners::iterator
{
    auto found = owners.find(owner);
    if (found == owners.end()) {
        found = owners.emplace(owner, typename Owners::mapped_type()).first;
    }
    ++found->second.shares;
    return found;
}

template<class Owners>
auto leave(Owners& owners, typename Owners::iterator owner, std::size_t bytes) -> void
{
    owner->second.bytes -= bytes;
    if (--owner->second.shares == 0) {
        owners.erase(owner);
    }
}

/// An owner's part of the memory, in terms of what remains free: the first one may have a third of the capacity, the next one a third of
/// the rest.
constexpr auto s_freeParts = std::size_t{2};

/// Whether an owner that has `owned` bytes may have `bytes` more of those that are free.
auto mayHave(std::size_t owned, std::size_t bytes, std::size_t free) -> bool
{
    return bytes == 0 || (bytes <= free && owned + bytes <= (free - bytes) / s_freeParts);
}

} // namespace

BufferMemory::BufferMemory(std::uint64_t hostBytes)
{
    m_account->capacity = std::max(s_minCapacity, static_cast<std::size_t>(hostBytes) / s_hostMemoryParts);
}

auto BufferMemory::maxResponse() const -> std::size_t
{
    return capacity() / s_largestResponses;
}

auto BufferMemory::used(std::string_view owner) const -> std::size_t
{
    const auto found = m_account->owners.find(owner);
    return found == m_account->owners.end() ? 0 : found->second.bytes;
}

BufferMemory::Share::Share(const BufferMemory& memory, std::string_view owner)
    : m_account(memory.m_account)
    , m_owner(enter(m_account->owners, owner))
{}

BufferMemory::Share::Share(Share&& other) noexcept
    : m_account(std::move(other.m_account))
    , m_owner(other.m_owner)
    , m_bytes(std::exchange(other.m_bytes, 0))
{}

auto BufferMemory::Share::operator=(Share&& other) noexcept -> Share&
{
    std::swap(m_account, other.m_account);
    std::swap(m_owner, other.m_owner);
    std::swap(m_bytes, other.m_bytes);
    return *this;
}

BufferMemory::Share::~Share()
{
    if (m_account) {
        leave(m_account->owners, m_owner, m_bytes);
        m_account->used -= m_bytes;
    }
}

auto BufferMemory::Share::grow(std::size_t bytes) -> bool
{
    if (!mayHave(m_owner->second.bytes, bytes, m_account->capacity - m_account->used)) {
        ++m_account->denials;
        return false;
    }
    m_account->used += bytes;
    m_owner->second.bytes += bytes;
    m_bytes += bytes;
    return true;
}

auto BufferMemory::Share::resize(std::size_t bytes) -> bool
{
    if (bytes > m_bytes) {
        return grow(bytes - m_bytes);
    }
    m_account->used -= m_bytes - bytes;
    m_owner->second.bytes -= m_bytes - bytes;
    m_bytes = bytes;
    return true;
}

auto BufferMemory::Share::setOwner(std::string_view owner) -> bool
{
    auto charged = enter(m_account->owners, owner);
    if (!mayHave(charged->second.bytes, m_bytes, m_account->capacity - m_account->used + m_bytes)) {
        ++m_account->denials;
        leave(m_account->owners, charged, 0);
        return false;
    }
    charged->second.bytes += m_bytes;
    leave(m_account->owners, std::exchange(m_owner, charged), m_bytes);
    return true;
}

} // namespace laburnummill::scheduling
