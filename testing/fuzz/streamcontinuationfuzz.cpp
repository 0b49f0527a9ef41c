#include "serving/streamcontinuation.h"

#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <string>

/// The input: the first byte is the size of the chunks in which the rest arrives. A second run repeats the stream after the last
/// event. Only complete events in order may come out, the same for any size of chunk.
extern "C" auto LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) -> int // NOLINT(readability-identifier-naming)
{
    if (size < 2) {
        return 0;
    }
    const auto chunk = std::size_t{1} + data[0] % 16U;
    const auto text = std::string(reinterpret_cast<const char*>(data) + 1, size - 1);
    auto atOnce = laburnummill::serving::StreamContinuation(std::nullopt);
    atOnce.beginRun();
    const auto whole = atOnce.feed(text);
    auto inChunks = laburnummill::serving::StreamContinuation(std::nullopt);
    inChunks.beginRun();
    auto joined = std::string();
    for (auto at = std::size_t{0}; at < text.size(); at += chunk) {
        joined += inChunks.feed(std::string_view(text).substr(at, chunk));
    }
    const auto isSame = whole == joined && atOnce.lastEvent() == inChunks.lastEvent() && atOnce.fault() == inChunks.fault();
    if (!isSame || !text.starts_with(whole)) {
        std::abort();
    }
    inChunks.beginRun();
    const auto next = inChunks.lastEvent() ? *inChunks.lastEvent() + 1 : 1;
    const auto event = "id: " + std::to_string(next) + "\ndata: x\n\n";
    if (inChunks.feed(event) != event || !inChunks.takeRemainder().empty()) {
        std::abort();
    }
    return 0;
}
