#pragma once

#include "calls/calltypes.h"
#include "framework/global/result.h"

#include <string>
#include <vector>

namespace laburnummill::programs {

/// One finished turn of a program, stored as one line of JSON. Its digest is the SHA-256 of that line. Each line contains its
/// parent's digest, so that the lines of a program form a hash chain.
struct TurnRecord
{
    std::string program;
    std::uint32_t turn = 0;
    std::string call;
    std::string parent;   ///< digest of the preceding turn; for the first turn see firstDigest()
    std::string messages; ///< messages that the turn added to the history, as JSON values joined by commas
    calls::CallAnswer answer;
    std::uint64_t atMs = 0; ///< Unix time
};

/// The parent digest of a program's first turn; unique to the program.
auto firstDigest(const std::string& program) -> std::string;

auto toLine(const TurnRecord& record) -> std::string;
auto digestOf(const std::string& line) -> std::string;

/// Fails with HistoryBroken if `line` is not a turn record.
auto recordFromLine(const std::string& line) -> framework::Result<TurnRecord>;

auto tokensOf(const TurnRecord& record) -> std::uint64_t;

/// One link of a verified chain.
struct ChainLink
{
    TurnRecord record;
    std::string line;
    std::string digest;
};

/// The program's chain from its first turn to turn `turns`, whose digest is `head`; `lines` may contain those of other programs.
/// Fails with HistoryBroken if a turn is missing or has another parent, or if the head differs; never returns a shorter chain.
auto chainFrom(const std::string& program, const std::vector<std::string>& lines, std::uint32_t turns, const std::string& head)
    -> framework::Result<std::vector<ChainLink>>;

/// The links in `lines` that continue a chain of `turns` turns ending in `head`, in order; empty if there are none.
auto continuationOf(const std::string& program, const std::vector<std::string>& lines, std::uint32_t turns, std::string head)
    -> std::vector<ChainLink>;

} // namespace laburnummill::programs
