#pragma once

#include "framework/global/nametable.h"

namespace laburnummill::serving {

/// What marks the end of a response's body.
enum class ResponseFraming
{
    Length,        ///< its length is in the header
    Chunks,        ///< its last chunk
    ConnectionEnd, ///< the end of the connection
};

inline constexpr auto s_responseFramingNames = framework::NameTable<ResponseFraming, 3>{{
    {ResponseFraming::Length, "length"},
    {ResponseFraming::Chunks, "chunks"},
    {ResponseFraming::ConnectionEnd, "connection_end"},
}};

/// Whether a stream of events is complete if its body has ended after `events` complete events, `isInsideEvent` after a part of
/// a further one. A server that fails may close its connection in the same way as one that has finished, so the end of the
/// body proves nothing by itself.
constexpr auto isCompleteStream(ResponseFraming framing, int events, bool isInsideEvent) -> bool
{
    return !isInsideEvent && (framing != ResponseFraming::ConnectionEnd || events > 0);
}

} // namespace laburnummill::serving
