#include "framework/global/digest.h"

#include <openssl/evp.h>
#include <openssl/rand.h>

#include <xxhash.h>

#include <array>
#include <span>
#include <vector>

namespace laburnummill::framework {

namespace {

auto hex(std::span<const unsigned char> bytes) -> std::string
{
    constexpr std::string_view digits = "0123456789abcdef";
    auto text = std::string();
    text.reserve(bytes.size() * 2);
    for (const auto byte : bytes) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0x0FU]);
    }
    return text;
}

} // namespace

auto sha256Hex(std::string_view text) -> std::string
{
    auto digest = std::array<unsigned char, 32>{};
    EVP_Digest(text.data(), text.size(), digest.data(), nullptr, EVP_sha256(), nullptr);
    return hex(digest);
}

auto hash64(std::string_view text, std::uint64_t seed) -> std::uint64_t
{
    return XXH3_64bits_withSeed(text.data(), text.size(), seed);
}

auto randomHex(std::size_t bytes) -> std::string
{
    auto buffer = std::vector<unsigned char>(bytes);
    RAND_bytes(buffer.data(), static_cast<int>(buffer.size()));
    return hex(buffer);
}

} // namespace laburnummill::framework
