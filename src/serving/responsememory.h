#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <utility>

namespace laburnummill::serving {

/// Limits the memory that backend servers' responses occupy on a host: a server in trouble may send bytes without end, on many
/// connections at once.
class ResponseMemory
{
public:
    /// Part of the memory that one response occupies; released on destruction.
    class Share
    {
    public:
        Share() = default;
        explicit Share(ResponseMemory& memory)
            : m_memory(&memory)
        {}
        Share(Share&& other) noexcept
            : m_memory(std::exchange(other.m_memory, nullptr))
            , m_bytes(std::exchange(other.m_bytes, 0))
        {}
        auto operator=(Share&& other) noexcept -> Share&
        {
            std::swap(m_memory, other.m_memory);
            std::swap(m_bytes, other.m_bytes);
            return *this;
        }
        Share(const Share&) = delete;
        auto operator=(const Share&) -> Share& = delete;
        ~Share()
        {
            if (m_memory != nullptr) {
                m_memory->m_used -= m_bytes;
            }
        }

        /// Adds `bytes`. Returns false, and adds nothing, if they exceed what all responses together may occupy.
        auto grow(std::size_t bytes) -> bool
        {
            if (bytes > m_memory->m_capacity - m_memory->m_used) {
                return false;
            }
            m_memory->m_used += bytes;
            m_bytes += bytes;
            return true;
        }

    private:
        ResponseMemory* m_memory = nullptr;
        std::size_t m_bytes = 0;
    };

    /// `hostBytes`: memory of the host.
    explicit ResponseMemory(std::uint64_t hostBytes)
        : m_capacity(std::max(s_minCapacity, static_cast<std::size_t>(hostBytes) / s_hostMemoryParts))
    {}

    /// Size of the largest response in bytes.
    auto maxResponse() const -> std::size_t { return m_capacity / s_largestResponses; }

    /// Bytes that all responses together occupy.
    auto used() const -> std::size_t { return m_used; }

private:
    static constexpr auto s_hostMemoryParts = std::size_t{8};
    static constexpr auto s_minCapacity = std::size_t{8 * 1024 * 1024};
    static constexpr auto s_largestResponses = std::size_t{8}; ///< number of largest responses that fit at the same time

    std::size_t m_capacity;
    std::size_t m_used = 0;
};

} // namespace laburnummill::serving
