#include "calls/internal/crashtracker.h"

#include "framework/global/asyncqueue.h"
#include "framework/global/digest.h"
#include "framework/logging/log.h"

namespace laburnummill::calls {

using framework::Async;
using framework::AsyncResult;
using framework::Json;
using framework::success;
using platform::PlatformError;

namespace {

constexpr auto s_table = "quarantine";
constexpr auto s_topic = "calls.crashes";
constexpr auto s_refreshInterval = framework::Milliseconds(5'000);
constexpr auto s_maxWriteTries = 3;
constexpr auto s_maxRows = std::size_t{256};

auto entryFrom(std::string_view text) -> CrashEntry
{
    return crashEntryFromJson(framework::parseJson(text).value_or(Json::object()));
}

} // namespace

auto fingerprintOf(const CallRequest& request) -> std::string
{
    return framework::sha256Hex(request.route + "\n" + request.body);
}

CrashTracker::CrashTracker(std::shared_ptr<platform::ITableService> tables, std::shared_ptr<coordination::IMembership> membership,
                           std::shared_ptr<framework::IPeers> peers, std::shared_ptr<framework::IClock> clock)
    : m_tables(std::move(tables))
    , m_membership(std::move(membership))
    , m_peers(std::move(peers))
    , m_clock(std::move(clock))
{}

auto CrashTracker::listen() -> void
{
    m_peers->listenFor(s_topic, [weak = weak_from_this()](const std::string& payload) {
        if (const auto self = weak.lock()) {
            self->m_quarantine.merge(entryFrom(payload));
        }
    });
}

auto CrashTracker::reportCrash(const std::string& fingerprint, const std::string& requestId) -> void
{
    const auto wasQuarantined = isQuarantined(fingerprint);
    const auto& entry = m_quarantine.report(fingerprint, requestId, nowMs());
    sendToPeers(entry);
    if (m_unpersisted.size() < s_maxRows) {
        m_unpersisted.push_back(entry);
    }
    if (!wasQuarantined && isQuarantined(fingerprint)) {
        framework::logEvent(framework::LogLevel::Warning, "calls", "request_quarantined", {{"fingerprint", fingerprint}});
    }
}

auto CrashTracker::isQuarantined(const std::string& fingerprint) const -> bool
{
    return m_quarantine.isQuarantined(fingerprint, nowMs());
}

auto CrashTracker::list() const -> std::vector<QuarantinedRequest>
{
    return m_quarantine.list(nowMs());
}

auto CrashTracker::release(std::string fingerprint, std::string operatorName, std::string reason) -> AsyncResult<void>
{
    auto cleared = m_quarantine.clear(fingerprint, nowMs(), std::move(operatorName), std::move(reason));
    if (!cleared) {
        co_return CallError::NotQuarantined;
    }
    framework::logEvent(framework::LogLevel::Info, "calls", "request_released", {{"fingerprint", fingerprint}, {"by", cleared->clearedBy}});
    sendToPeers(*cleared);
    co_return co_await persist(*cleared);
}

auto CrashTracker::sendToPeers(const CrashEntry& entry) -> void
{
    const auto payload = framework::dumpJson(toJson(entry));
    for (const auto& dataCentre : m_membership->dataCentres()) {
        for (const auto& member : m_membership->members(dataCentre)) {
            if (member.id != m_membership->self().id) {
                m_peers->send(member.address, s_topic, payload);
            }
        }
    }
}

auto CrashTracker::persist(CrashEntry entry) -> AsyncResult<void>
{
    auto error = std::error_code(PlatformError::Conflict);
    for (auto tries = 0; tries < s_maxWriteTries; ++tries) {
        BOOST_OUTCOME_CO_TRY(const auto row, co_await m_tables->readOne({s_table, entry.fingerprint}));
        if (row) {
            m_quarantine.merge(entryFrom(row->value));
            auto merged = QuarantineRegistry();
            merged.merge(entryFrom(row->value));
            merged.merge(entry);
            entry = merged.report(entry.fingerprint, entry.crashes.begin()->first, entry.crashes.begin()->second);
        }
        const auto expected = row ? row->version : platform::s_absent;
        const auto written = co_await m_tables->writeOne({{s_table, entry.fingerprint}, expected, framework::dumpJson(toJson(entry))});
        if (written) {
            co_return success();
        }
        error = written.error();
    }
    co_return error;
}

auto CrashTracker::refresh() -> Async<void>
{
    const auto unpersisted = std::exchange(m_unpersisted, {});
    for (const auto& entry : unpersisted) {
        if (!co_await persist(entry)) {
            m_unpersisted.push_back(entry);
        }
    }
    const auto rows = co_await m_tables->scan({s_table, {}, {}, s_maxRows});
    if (rows) {
        for (const auto& row : rows.value()) {
            m_quarantine.merge(entryFrom(row.value));
        }
    }
    m_quarantine.removeExpired(nowMs());
}

auto CrashTracker::refreshUntilStopped() -> Async<void>
{
    const auto self = shared_from_this();
    while (!m_stopped) {
        co_await refresh();
        co_await framework::sleepFor(s_refreshInterval);
    }
}

} // namespace laburnummill::calls
