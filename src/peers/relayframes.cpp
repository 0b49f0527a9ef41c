#include "peers/relayframes.h"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <cstring>

namespace laburnummill::peers {

namespace {

constexpr auto s_bufferBytes = std::size_t{8 * 1024};

} // namespace

auto relayFrameHeader(std::size_t bytes) -> RelayFrameHeader
{
    const auto length = boost::endian::native_to_little(static_cast<std::uint32_t>(bytes));
    auto header = RelayFrameHeader();
    std::memcpy(header.data(), &length, sizeof(length));
    return header;
}

auto RelayFrameReader::space() -> std::span<char>
{
    m_bytes.resize(s_bufferBytes);
    std::copy(m_bytes.begin() + static_cast<std::ptrdiff_t>(m_begin), m_bytes.begin() + static_cast<std::ptrdiff_t>(m_end),
              m_bytes.begin());
    m_end -= m_begin;
    m_begin = 0;
    return std::span(m_bytes).subspan(m_end);
}

auto RelayFrameReader::beginFrame() -> bool
{
    auto length = std::uint32_t{0};
    if (m_hasEnded || m_isInvalid || m_end - m_begin < sizeof(length)) {
        return false;
    }
    std::memcpy(&length, m_bytes.data() + m_begin, sizeof(length));
    boost::endian::little_to_native_inplace(length);
    m_begin += sizeof(length);
    m_remaining = length;
    m_hasEnded = length == 0;
    m_isInvalid = length > s_maxRelayFrame;
    return !m_hasEnded && !m_isInvalid;
}

auto RelayFrameReader::take(std::span<char> target) -> std::size_t
{
    auto taken = std::size_t{0};
    while (taken < target.size() && !m_isInvalid && (m_remaining > 0 || beginFrame())) {
        const auto bytes = std::min({target.size() - taken, m_remaining, m_end - m_begin});
        if (bytes == 0) {
            break;
        }
        std::memcpy(target.data() + taken, m_bytes.data() + m_begin, bytes);
        m_begin += bytes;
        m_remaining -= bytes;
        taken += bytes;
    }
    return taken;
}

} // namespace laburnummill::peers
