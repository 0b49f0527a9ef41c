#include "configuration/internal/configurationmanager.h"

#include "configuration/configurationcodec.h"
#include "framework/global/asyncqueue.h"
#include "framework/global/digest.h"
#include "framework/logging/log.h"

namespace laburnummill::configuration {

using framework::Async;
using framework::AsyncResult;
using framework::Json;
using framework::success;
using platform::PlatformError;

namespace {

constexpr auto s_changeIdBytes = std::size_t{16};
constexpr auto s_readRetryInterval = framework::Milliseconds(200);

auto versionIn(const Json& document) -> std::uint64_t
{
    return static_cast<std::uint64_t>(framework::integerAt(document, "version"));
}

auto outcomeOf(const framework::Result<void>& written) -> WriteOutcome
{
    if (written) {
        return WriteOutcome::Written;
    }
    if (written.error() == PlatformError::Conflict) {
        return WriteOutcome::Conflict;
    }
    const auto refused = written.error() == PlatformError::Unavailable || written.error() == PlatformError::TooManyRequests;
    return refused ? WriteOutcome::Refused : WriteOutcome::Unknown;
}

} // namespace

ConfigurationManager::ConfigurationManager(std::shared_ptr<ConfigurationStore> store, std::shared_ptr<gossip::IGossip> gossip,
                                           ChangePolicy policy)
    : m_store(std::move(store))
    , m_gossip(std::move(gossip))
    , m_policy(policy)
{}

auto ConfigurationManager::offer(const Json& document) -> void
{
    const auto version = versionIn(document);
    auto nextVersion = m_version;
    if (!nextVersion.tryAdvance(version)) {
        m_version = nextVersion;
        return;
    }
    auto faults = framework::DocumentFaults();
    auto configuration = configurationFromJson(document, faults);
    if (!configuration) {
        framework::logEvent(framework::LogLevel::Error, "configuration", "unreadable_version", {{"version", version}});
        return;
    }
    m_version = nextVersion;
    m_current = std::make_shared<const Configuration>(std::move(configuration.value()));
    m_body = framework::dumpJson(document);
    framework::logEvent(framework::LogLevel::Info, "configuration", "in_force", {{"version", version}});
    const auto handlers = m_handlers;
    for (const auto& handler : handlers) {
        handler();
    }
}

auto ConfigurationManager::offerDocument(const gossip::VersionedDocument& document) -> void
{
    const auto offered = framework::parseJson(document.body).value_or(Json::object());
    if (versionIn(offered) == document.version) {
        offer(offered);
    }
}

auto ConfigurationManager::refresh() -> AsyncResult<void>
{
    BOOST_OUTCOME_CO_TRY(const auto document, co_await m_store->readCurrent());
    if (document) {
        offer(*document);
    }
    co_return success();
}

auto ConfigurationManager::readOnce(ChangeAttempt& attempt) -> Async<ChangeStep>
{
    const auto snapshot = co_await m_store->readSnapshot(attempt.version());
    if (!snapshot) {
        m_lastFailure = snapshot.error();
        co_return attempt.handleReadFailure();
    }
    offer(snapshot.value().current);
    co_return attempt.handleRead(snapshot.value().stored);
}

auto ConfigurationManager::writeOnce(Json document, ChangeAttempt& attempt) -> Async<ChangeStep>
{
    const auto written = co_await m_store->write(std::move(document), attempt);
    if (!written) {
        m_lastFailure = written.error();
    }
    co_return attempt.handleWrite(outcomeOf(written));
}

auto ConfigurationManager::apply(Json document, std::uint64_t expected) -> AsyncResult<std::uint64_t>
{
    auto attempt = ChangeAttempt(expected, framework::randomHex(s_changeIdBytes), m_policy);
    document["version"] = attempt.version();
    auto faults = framework::DocumentFaults();
    BOOST_OUTCOME_CO_TRYV(configurationFromJson(document, faults));
    auto step = co_await readOnce(attempt);
    while (step == ChangeStep::Read || step == ChangeStep::Write) {
        if (step == ChangeStep::Write) {
            step = co_await writeOnce(document, attempt);
            continue;
        }
        co_await framework::sleepFor(s_readRetryInterval);
        step = co_await readOnce(attempt);
    }
    if (step == ChangeStep::Conflict) {
        co_return ConfigurationError::VersionConflict;
    }
    if (step == ChangeStep::Unknown) {
        co_return PlatformError::OutcomeUnknown;
    }
    if (step == ChangeStep::Refused) {
        co_return m_lastFailure;
    }
    offer(document);
    m_gossip->push(s_configurationDocument);
    co_return attempt.version();
}

auto ConfigurationManager::dump() const -> Json
{
    return {{"version", m_version.version()}, {"lowerVersionsRefused", m_version.refused()}};
}

} // namespace laburnummill::configuration
