#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

namespace laburnummill::peers {

/// Length of a frame's payload in bytes, little-endian. A length of 0 marks the end of the answers: the server has ended its connection.
using RelayFrameHeader = std::array<char, sizeof(std::uint32_t)>;

/// Largest payload of a frame between two hosts, in bytes.
inline constexpr auto s_maxRelayFrame = std::size_t{64 * 1024};

/// Returns the header of a frame with `bytes` of payload.
auto relayFrameHeader(std::size_t bytes) -> RelayFrameHeader;

/// Unpacks the frames in which a host passes on what a backend server sends. A connection that ends without the mark of the end was broken
/// off between the hosts, whatever it has delivered. Does no I/O.
class RelayFrameReader
{
public:
    /// Where the next bytes of the connection are to be stored; never empty.
    auto space() -> std::span<char>;

    /// `bytes` were stored there.
    auto onReceived(std::size_t bytes) -> void { m_end += bytes; }

    /// Moves payload to `target`. Returns the number of bytes; 0 if there are none yet, or no more.
    auto take(std::span<char> target) -> std::size_t;

    /// Whether the mark of the end was read.
    auto hasEnded() const -> bool { return m_hasEnded; }

    /// Whether the bytes are not frames.
    auto isInvalid() const -> bool { return m_isInvalid; }

    /// Whether there are bytes that have not been taken.
    auto hasUnread() const -> bool { return m_end > m_begin || m_remaining > 0; }

private:
    /// Reads the header of the next frame; returns false if it has not arrived, or if there is none.
    auto beginFrame() -> bool;

    std::vector<char> m_bytes;
    std::size_t m_begin = 0;
    std::size_t m_end = 0;
    std::size_t m_remaining = 0; ///< payload of the present frame that has not been taken
    bool m_hasEnded = false;
    bool m_isInvalid = false;
};

} // namespace laburnummill::peers
