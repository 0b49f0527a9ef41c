#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnummill::framework {

/// SHA-256 of `text` as 64 lower-case hexadecimal digits.
auto sha256Hex(std::string_view text) -> std::string;

/// A fast 64-bit hash (xxHash3), equal on every host; not for secrets.
auto hash64(std::string_view text, std::uint64_t seed = 0) -> std::uint64_t;

/// `bytes` random bytes from the system's generator, in hexadecimal; for identifiers and keys.
auto randomHex(std::size_t bytes) -> std::string;

} // namespace laburnummill::framework
