#pragma once

#include "framework/logging/log.h"

#include <cstddef>
#include <cstdint>

namespace laburnummill::framework {

/// Sends log lines to standard output through a bounded buffer; lines that do not fit are counted and dropped.
auto startBufferedLogging(std::string_view daemonName, LogLevel level, std::size_t bufferBytes) -> void;

/// Writes what is buffered as far as standard output takes it at once. Never blocks.
auto flushLog() -> void;

/// Lines dropped since the start.
auto droppedLogLines() -> std::uint64_t;

} // namespace laburnummill::framework
