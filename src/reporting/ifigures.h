#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace laburnummill::reporting {

/// How a call ended, as far as the report tells ends apart.
enum class CallEnd
{
    RunOnce,
    Repeated, ///< got the stored answer of an earlier run, or joined it
    Unknown,  ///< may have run; an operator has to find out
    Refused,  ///< surely did not run
    Failed,   ///< ran, or may have, and failed
};

/// One ended call.
struct CallFigure
{
    std::string account;
    CallEnd end = CallEnd::RunOnce;
    std::string code; ///< of the failure; empty for an answer
    double milliseconds = 0;
    bool isLaterTurn = false; ///< of a program, after its first
    std::uint64_t promptTokens = 0;
    std::uint64_t cachedTokens = 0;
};

/// One ended program.
struct ProgramFigure
{
    std::string account;
    double milliseconds = 0; ///< from its start to its end
    std::uint32_t turns = 0;
};

/// Takes the figures of which the report is made.
class IFigures
{
public:
    static constexpr std::string_view s_serviceName = "reporting.figures";

    virtual ~IFigures() = default;

    virtual auto note(const CallFigure& figure) -> void = 0;
    virtual auto note(const ProgramFigure& figure) -> void = 0;
};

} // namespace laburnummill::reporting
