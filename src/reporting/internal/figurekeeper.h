#pragma once

#include "framework/global/iclock.h"
#include "platform/itableservice.h"
#include "reporting/figurewindow.h"
#include "reporting/ifigures.h"

#include <deque>
#include <memory>
#include <string>

namespace laburnummill::reporting {

/// The table of figures: one row a host and window, keyed by the window's start so that a range can be scanned.
inline constexpr auto s_figuresTable = "figures";
inline constexpr auto s_windowLength = framework::Seconds(60);

/// The key of a host's window: its start in milliseconds with leading zeros, then the host.
auto figureKey(framework::WallTime start, const std::string& host) -> std::string;

/// Collects this host's figures and writes each window to the platform when it has ended.
class FigureKeeper final : public IFigures
{
public:
    FigureKeeper(std::string host, std::string dataCentre, std::shared_ptr<platform::ITableService> tables,
                 std::shared_ptr<framework::IClock> clock);

    auto note(const CallFigure& figure) -> void override;
    auto note(const ProgramFigure& figure) -> void override;

    /// Writes the windows that have ended; those that cannot be written are kept, within a bound, and written later.
    auto flush() -> framework::Async<void>;

    /// Writes the running window as well; for the end of the daemon.
    auto flushAll() -> framework::Async<void>;

    auto waiting() const -> std::size_t { return m_ended.size(); }

private:
    struct Ended
    {
        framework::WallTime start;
        FigureWindow window;
    };

    auto turnOver() -> void;
    auto endWindow() -> void;
    auto writeEnded() -> framework::Async<void>;

    std::string m_host;
    std::string m_dataCentre;
    std::shared_ptr<platform::ITableService> m_tables;
    std::shared_ptr<framework::IClock> m_clock;
    framework::WallTime m_start;
    FigureWindow m_window;
    std::deque<Ended> m_ended;
    std::uint64_t m_dropped = 0;
};

} // namespace laburnummill::reporting
