#include "reporting/internal/figurekeeper.h"

#include <cstdio>

namespace laburnummill::reporting {

using framework::Json;
using framework::WallTime;

namespace {

constexpr auto s_maxEnded = std::size_t{120};

auto windowStart(WallTime time) -> WallTime
{
    return std::chrono::time_point_cast<framework::Milliseconds>(
        std::chrono::floor<framework::Seconds>(time) - std::chrono::floor<framework::Seconds>(time).time_since_epoch() % s_windowLength);
}

} // namespace

auto figureKey(WallTime start, const std::string& host) -> std::string
{
    auto digits = std::to_string(framework::unixMilliseconds(start));
    constexpr auto length = std::size_t{15};
    return std::string(length - std::min(length, digits.size()), '0') + digits + "/" + host;
}

FigureKeeper::FigureKeeper(std::string host, std::string dataCentre, std::shared_ptr<platform::ITableService> tables,
                           std::shared_ptr<framework::IClock> clock)
    : m_host(std::move(host))
    , m_dataCentre(std::move(dataCentre))
    , m_tables(std::move(tables))
    , m_clock(std::move(clock))
    , m_start(windowStart(m_clock->wallTime()))
{}

auto FigureKeeper::note(const CallFigure& figure) -> void
{
    turnOver();
    m_window.note(figure);
}

auto FigureKeeper::note(const ProgramFigure& figure) -> void
{
    turnOver();
    m_window.note(figure);
}

auto FigureKeeper::turnOver() -> void
{
    if (const auto start = windowStart(m_clock->wallTime()); start != m_start) {
        endWindow();
        m_start = start;
    }
}

auto FigureKeeper::endWindow() -> void
{
    //! NOTE A window without calls is written, too: it tells that the host was there.
    m_ended.push_back({m_start, std::move(m_window)});
    m_window = FigureWindow();
    if (m_ended.size() > s_maxEnded) {
        m_ended.pop_front();
        ++m_dropped;
    }
}

auto FigureKeeper::writeEnded() -> framework::Async<void>
{
    while (!m_ended.empty()) {
        const auto ended = m_ended.front();
        const auto row = Json{{"host", m_host}, {"dataCentre", m_dataCentre}, {"dropped", m_dropped}, {"accounts", ended.window.toJson()}};
        const auto written =
            co_await m_tables->writeOne({{s_figuresTable, figureKey(ended.start, m_host)}, std::nullopt, framework::dumpJson(row)});
        if (!written) {
            co_return;
        }
        if (!m_ended.empty() && m_ended.front().start == ended.start) {
            m_ended.pop_front();
        }
    }
}

auto FigureKeeper::flush() -> framework::Async<void>
{
    turnOver();
    co_await writeEnded();
}

auto FigureKeeper::flushAll() -> framework::Async<void>
{
    turnOver();
    endWindow();
    co_await writeEnded();
}

} // namespace laburnummill::reporting
