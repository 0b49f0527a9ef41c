#include "faultplayer.h"

#include "framework/global/systemclock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <fmt/format.h>

#include <array>
#include <csignal>
#include <optional>

namespace laburnummill::testing {

namespace {

using framework::Milliseconds;

constexpr auto s_look = Milliseconds(20);

auto storeFaultOf(FaultKind kind) -> std::optional<StoreFault>
{
    switch (kind) {
    case FaultKind::StoreBusy:
        return StoreFault::Busy;
    case FaultKind::StoreTooMany:
        return StoreFault::TooMany;
    case FaultKind::StoreSilent:
        return StoreFault::Silent;
    case FaultKind::StoreLosesAnswers:
        return StoreFault::LostAnswer;
    default:
        return std::nullopt;
    }
}

auto storePartsFaultOf(const Fault& fault) -> std::optional<StorePartsFault>
{
    const auto state = fault.kind == FaultKind::StorePartlyBusy     ? StoreFault::Busy
                       : fault.kind == FaultKind::StorePartlySilent ? StoreFault::Silent
                                                                    : StoreFault::None;
    if (state == StoreFault::None) {
        return std::nullopt;
    }
    return StorePartsFault{.fault = state, .thirds = 1 + fault.target % 2, .draw = static_cast<std::uint64_t>(fault.target)};
}

/// Ways in which an answer has no end. In a body without end the bytes are the server's answer, which a caller gets as it arrives.
constexpr auto s_endlessAnswers = std::array{EngineFault::EndlessHead, EngineFault::EndlessChunkLine, EngineFault::EndlessTrailer};

/// Beginnings of requests that go on without end, in the line before a chunk and in a field after the last one.
constexpr auto s_endlessRequests = std::array<std::string_view, 2>{"5;x=", "0\r\nX-Field: "};
constexpr auto s_endlessBlock = std::size_t{64 * 1024};
constexpr auto s_endlessCallers = 6;
constexpr auto s_largeCallers = 20;
constexpr auto s_largeBody = 4'000'000;

/// A process has blocked its signals within some milliseconds of its start.
constexpr auto s_earlySignals = 8;

constexpr auto s_watchInterval = Milliseconds(100);

/// Ways in which a stream ends early.
constexpr auto s_streamBreaks = std::array{EngineFault::BreakOff, EngineFault::BreakInside, EngineFault::Stall};

auto engineFaultOf(const Fault& fault) -> std::optional<EngineFault>
{
    switch (fault.kind) {
    case FaultKind::EngineRefuses:
        return EngineFault::NotRun;
    case FaultKind::EngineElsewhere:
        return EngineFault::Misdirected;
    case FaultKind::EngineGarbage:
        return EngineFault::Garbage;
    case FaultKind::EngineStray:
        return EngineFault::Stray;
    case FaultKind::EngineBreaksOff:
        return s_streamBreaks[static_cast<std::size_t>(fault.target) % s_streamBreaks.size()];
    case FaultKind::EngineUnsigned:
        return EngineFault::Unsigned;
    case FaultKind::EngineHangs:
        return EngineFault::Hang;
    case FaultKind::EngineEndless:
        return s_endlessAnswers[static_cast<std::size_t>(fault.target) % s_endlessAnswers.size()];
    default:
        return std::nullopt;
    }
}

} // namespace

FaultPlayer::FaultPlayer(asio::io_context& context, SoakFleet& fleet, StopRecord& stops, std::vector<Fault> faults)
    : m_context(context)
    , m_fleet(fleet)
    , m_stops(stops)
    , m_faults(std::move(faults))
{}

auto FaultPlayer::play() -> asio::awaitable<void>
{
    asio::co_spawn(m_context, watchHosts(), asio::detached);
    for (auto number = std::size_t{0}; number < m_faults.size(); ++number) {
        ++m_underWay;
        asio::co_spawn(m_context, playOne(number), asio::detached);
    }
    while (m_underWay > 0) {
        co_await rest(s_look);
    }
}

auto FaultPlayer::playOne(std::size_t number) -> asio::awaitable<void>
{
    const auto fault = m_faults[number];
    co_await rest(fault.at);
    if (fault.kind == FaultKind::HostRolled || fault.kind == FaultKind::DataCentreRolled) {
        co_await roll(hostOf(fault));
    } else {
        recordBegin(fault);
        begin(number);
        if (fault.kind == FaultKind::HostSignalledEarly) {
            co_await signalEarly(fault);
        } else if (fault.kind == FaultKind::CallersEndless || fault.kind == FaultKind::CallersLarge) {
            co_await sendToHost(fault);
        } else {
            co_await rest(fault.time);
        }
        end(number);
        recordEnd(fault);
    }
    --m_underWay;
}

auto FaultPlayer::hostOf(const Fault& fault) const -> int
{
    if (fault.kind != FaultKind::DataCentreRolled) {
        return fault.target % m_fleet.hosts();
    }
    const auto dataCentre = fault.target % m_fleet.dataCentres();
    const auto hosts = (m_fleet.hosts() - dataCentre + m_fleet.dataCentres() - 1) / m_fleet.dataCentres();
    return dataCentre + (fault.turn % hosts) * m_fleet.dataCentres();
}

auto FaultPlayer::placesOf(const Fault& fault) const -> std::vector<Place>
{
    const auto host = Place{.kind = Place::Kind::Host, .number = hostOf(fault)};
    const auto engine = Place{.kind = Place::Kind::Engine, .number = engineOf(fault)};
    if (storeFaultOf(fault.kind) || storePartsFaultOf(fault)) {
        return {{.kind = Place::Kind::Store}};
    }
    if (engineFaultOf(fault)) {
        return {engine};
    }
    switch (fault.kind) {
    case FaultKind::HostRolled:
    case FaultKind::HostReloaded:
    case FaultKind::DataCentreRolled:
    case FaultKind::EngineDrains:
    case FaultKind::KeyWithdrawn:
        return {}; // Planned.
    case FaultKind::StoreHistoryDropped:
        return {{.kind = Place::Kind::Store}};
    case FaultKind::EnginePathCut:
    case FaultKind::EnginePathReset:
        return {engine};
    case FaultKind::DataCentresCut:
    case FaultKind::DataCentresCutOneWay:
        return hostsOfBoth(fault.target % m_fleet.dataCentres());
    case FaultKind::HostsAllKilled:
        return allHosts();
    default:
        return {host};
    }
}

auto FaultPlayer::allHosts() const -> std::vector<Place>
{
    auto places = std::vector<Place>();
    for (auto host = 0; host < m_fleet.hosts(); ++host) {
        places.push_back({.kind = Place::Kind::Host, .number = host});
    }
    return places;
}

auto FaultPlayer::hostsOfBoth(int dataCentre) const -> std::vector<Place>
{
    auto places = std::vector<Place>();
    for (auto host = 0; host < m_fleet.hosts(); ++host) {
        const auto from = m_fleet.dataCentreOf(host);
        if (from == dataCentre || from == (dataCentre + 1) % m_fleet.dataCentres()) {
            places.push_back({.kind = Place::Kind::Host, .number = host});
        }
    }
    return places;
}

auto FaultPlayer::recordBegin(const Fault& fault) -> void
{
    for (const auto place : placesOf(fault)) {
        m_stops.faultBegan(place, framework::SystemClock().now());
    }
}

auto FaultPlayer::recordEnd(const Fault& fault) -> void
{
    for (const auto place : placesOf(fault)) {
        m_stops.faultEnded(place, framework::SystemClock().now());
    }
}

auto FaultPlayer::beginAtStore(std::size_t number) -> bool
{
    const auto& fault = m_faults[number];
    const auto state = storeFaultOf(fault.kind);
    const auto partsState = storePartsFaultOf(fault);
    if (state) {
        m_fleet.store().setFault(m_store.push(number, *state));
    }
    if (partsState) {
        m_fleet.store().setPartsFault(m_storeParts.push(number, *partsState));
    }
    return state || partsState;
}

auto FaultPlayer::begin(std::size_t number) -> void
{
    const auto& fault = m_faults[number];
    const auto host = hostOf(fault);
    const auto engine = engineOf(fault);
    if (beginAtStore(number)) {
        return;
    }
    if (const auto state = engineFaultOf(fault)) {
        m_fleet.engine(engine).setFault(m_engines[engine].push(number, *state));
        return;
    }
    switch (fault.kind) {
    case FaultKind::HostKilled:
        return setDown(host, true);
    case FaultKind::HostsAllKilled:
        return setAllDown(true);
    case FaultKind::HostFrozen:
    case FaultKind::HostFrozenLong:
        return setFrozen(host, true);
    case FaultKind::HostSignalledEarly:
        return m_fleet.kill(host);
    case FaultKind::HostPortHeld:
        m_fleet.kill(host);
        m_fleet.setPortHeld(host, true);
        return restart(host);
    case FaultKind::HostDescriptorsUsed:
        return m_fleet.setDescriptorsUsed(host, true);
    case FaultKind::HostReloaded:
        return m_fleet.reload(host);
    case FaultKind::StoreHistoryDropped:
        return m_fleet.store().dropHistory();
    case FaultKind::StorePathCut:
        return m_fleet.storePath(host).setState(m_storePaths[host].push(number, PathState::Silent));
    case FaultKind::StorePathSlow:
        return m_fleet.storePath(host).setState(m_storePaths[host].push(number, PathState::Slow));
    case FaultKind::StorePathReset:
        return m_fleet.storePath(host).setState(m_storePaths[host].push(number, PathState::Refused));
    case FaultKind::DataCentresCut:
    case FaultKind::DataCentresCutOneWay:
        return cutDataCentres(fault, true);
    case FaultKind::PeerPathSilent:
        return m_fleet.peerPath(host).setState(m_peerPaths[host].push(number, PathState::SilentBack));
    case FaultKind::PeerPathReset:
        return m_fleet.peerPath(host).reset();
    case FaultKind::PeerPathDead:
        return m_fleet.peerPath(host).silenceOpen();
    case FaultKind::EnginePathCut:
        return m_fleet.enginePath(engine).setState(m_enginePaths[engine].push(number, PathState::Silent));
    case FaultKind::EnginePathReset:
        return m_fleet.enginePath(engine).reset();
    case FaultKind::EngineDrains:
        return m_fleet.putEngine(engine, "draining");
    case FaultKind::KeyWithdrawn:
        return m_fleet.putConfiguration(false);
    default:
        return;
    }
}

auto FaultPlayer::end(std::size_t number) -> void
{
    const auto& fault = m_faults[number];
    const auto host = hostOf(fault);
    const auto engine = engineOf(fault);
    if (storeFaultOf(fault.kind)) {
        m_fleet.store().setFault(m_store.remove(number));
        return;
    }
    if (storePartsFaultOf(fault)) {
        m_fleet.store().setPartsFault(m_storeParts.remove(number));
        return;
    }
    if (engineFaultOf(fault)) {
        m_fleet.engine(engine).setFault(m_engines[engine].remove(number));
        return;
    }
    switch (fault.kind) {
    case FaultKind::HostKilled:
        return setDown(host, false);
    case FaultKind::HostsAllKilled:
        return setAllDown(false);
    case FaultKind::HostFrozen:
    case FaultKind::HostFrozenLong:
        return setFrozen(host, false);
    case FaultKind::HostSignalledEarly:
        return restart(host);
    case FaultKind::HostPortHeld:
        m_fleet.setPortHeld(host, false);
        return restart(host);
    case FaultKind::HostDescriptorsUsed:
        return m_fleet.setDescriptorsUsed(host, false);
    case FaultKind::StorePathCut:
    case FaultKind::StorePathSlow:
    case FaultKind::StorePathReset:
        return m_fleet.storePath(host).setState(m_storePaths[host].remove(number));
    case FaultKind::DataCentresCut:
    case FaultKind::DataCentresCutOneWay:
        return cutDataCentres(fault, false);
    case FaultKind::PeerPathSilent:
        return m_fleet.peerPath(host).setState(m_peerPaths[host].remove(number));
    case FaultKind::EnginePathCut:
        return m_fleet.enginePath(engine).setState(m_enginePaths[engine].remove(number));
    case FaultKind::EngineDrains:
        return m_fleet.putEngine(engine, "ready");
    case FaultKind::KeyWithdrawn:
        return m_fleet.putConfiguration(true);
    default:
        return;
    }
}

auto FaultPlayer::setDown(int host, bool isDown) -> void
{
    auto& faults = m_down[host];
    faults += isDown ? 1 : -1;
    if (isDown) {
        m_fleet.kill(host);
    } else if (faults == 0 && !m_fleet.isRunning(host)) {
        m_fleet.start(host, false);
    }
}

auto FaultPlayer::setAllDown(bool areDown) -> void
{
    for (auto host = 0; host < m_fleet.hosts(); ++host) {
        setDown(host, areDown);
    }
}

auto FaultPlayer::restart(int host) -> void
{
    if (m_down[host] == 0 && !m_rolling.contains(host) && !m_fleet.isRunning(host)) {
        m_fleet.start(host, false);
    }
}

auto FaultPlayer::signalEarly(const Fault& fault) -> asio::awaitable<void>
{
    restart(hostOf(fault));
    for (auto number = 0; number < s_earlySignals; ++number) {
        co_await rest(Milliseconds(1 + fault.target % s_earlySignals));
        m_fleet.reload(hostOf(fault));
    }
}

auto FaultPlayer::sendToHost(const Fault& fault) -> asio::awaitable<void>
{
    const auto isEndless = fault.kind == FaultKind::CallersEndless;
    const auto framing = isEndless ? std::string("Transfer-Encoding: chunked") : fmt::format("Content-Length: {}", s_largeBody + 1);
    const auto start = "POST /look/x HTTP/1.1\r\nHost: h.example\r\nX-Api-Key: large-key\r\n" + framing + "\r\n\r\n";
    auto sockets = std::vector<std::shared_ptr<asio::ip::tcp::socket>>();
    for (auto number = 0; number < (isEndless ? s_endlessCallers : s_largeCallers); ++number) {
        sockets.push_back(std::make_shared<asio::ip::tcp::socket>(m_context));
        const auto rest = isEndless ? std::string(s_endlessRequests[static_cast<std::size_t>(number) % s_endlessRequests.size()])
                                    : std::string(s_largeBody, 'x');
        const auto send = [to = m_fleet.callerEndpoint(hostOf(fault)), socket = sockets.back(), text = start + rest,
                           block = std::string(isEndless ? s_endlessBlock : 0, 'y')]() -> asio::awaitable<void> {
            auto error = boost::system::error_code();
            co_await socket->async_connect(to, asio::redirect_error(asio::use_awaitable, error));
            co_await asio::async_write(*socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
            while (!error && !block.empty()) {
                co_await asio::async_write(*socket, asio::buffer(block), asio::redirect_error(asio::use_awaitable, error));
            }
        };
        asio::co_spawn(m_context, send, asio::detached);
    }
    co_await rest(fault.time);
    for (const auto& socket : sockets) {
        auto ignored = boost::system::error_code();
        socket->close(ignored);
    }
}

auto FaultPlayer::watchHosts() -> asio::awaitable<void>
{
    while (true) {
        for (auto host = 0; host < m_fleet.hosts(); ++host) {
            m_fleet.checkRuns(host);
            restart(host);
        }
        co_await rest(s_watchInterval);
    }
}

auto FaultPlayer::setFrozen(int host, bool isFrozen) -> void
{
    auto& faults = m_frozen[host];
    faults += isFrozen ? 1 : -1;
    if (isFrozen && !m_rolling.contains(host)) {
        m_fleet.signal(host, SIGSTOP); // One that is told to stop would miss its grace.
    } else if (!isFrozen && faults == 0) {
        m_fleet.signal(host, SIGCONT);
    }
}

auto FaultPlayer::roll(int host) -> asio::awaitable<void>
{
    if (m_frozen[host] > 0 || !m_fleet.isRunning(host) || !m_rolling.insert(host).second) {
        co_return;
    }
    m_fleet.askToStop(host);
    while (!m_fleet.hasStopped(host)) {
        co_await rest(s_look);
    }
    m_rolling.erase(host);
    if (m_down[host] == 0 && !m_fleet.isRunning(host)) {
        m_fleet.start(host, false);
    }
}

auto FaultPlayer::cutDataCentres(const Fault& fault, bool isCut) -> void
{
    const auto count = m_fleet.dataCentres();
    const auto from = fault.target % count;
    const auto to = (from + 1) % count;
    const auto set = [this, isCut](int one, int other) {
        auto& cuts = m_cuts[{one, other}];
        cuts += isCut ? 1 : -1;
        m_fleet.cut(one, other, cuts > 0);
    };
    set(from, to);
    if (fault.kind == FaultKind::DataCentresCut) {
        set(to, from);
    }
}

auto FaultPlayer::rest(Milliseconds time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

} // namespace laburnummill::testing
