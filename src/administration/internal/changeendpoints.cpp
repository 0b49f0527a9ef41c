#include "administration/internal/changeendpoints.h"

#include "administration/internal/queryendpoints.h"
#include "configuration/configurationcodec.h"

#include <csignal>

namespace laburnummill::administration {

using framework::Async;
using framework::AsyncResult;
using framework::HttpResponse;
using framework::Json;
using framework::Result;
using framework::stringAt;

namespace {

constexpr auto s_confirmationTimeout = framework::Milliseconds(4'000);
constexpr auto s_hashLength = std::size_t{64};

auto isHash(const std::string& text) -> bool
{
    return text.size() == s_hashLength && text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

} // namespace

/// One change: the role it requires, its description in the audit log and the function that makes it.
struct ChangeEndpoints::Change
{
    OperatorRole role = OperatorRole::Administrator;
    std::string action;
    std::string target;
    std::string document;                             ///< document whose new version data centres confirm; empty if none
    std::function<AsyncResult<std::uint64_t>()> make; ///< returns the document's new version, or 0 if there is no document
};

ChangeEndpoints::ChangeEndpoints(std::shared_ptr<AdministrationServices> services)
    : m_services(std::move(services))
{}

auto ChangeEndpoints::answer(AdministrationRequest request) -> Async<HttpResponse>
{
    const auto change = parseChange(request);
    if (!change) {
        co_return errorResponse(change.error());
    }
    if (request.actor.role < change.value().role) {
        co_return errorResponse(AdministrationError::RoleTooLow);
    }
    const auto recorded = co_await m_services->audit->begin(request.actor, change.value().action, change.value().target);
    if (!recorded) {
        co_return errorResponse(recorded.error());
    }
    const auto version = co_await change.value().make();
    co_await m_services->audit->finish(recorded.value(), version ? "done" : std::string(framework::codeOf(version.error())));
    m_services->metrics->count("operator_changes_total", {{"action", change.value().action}});
    if (!version) {
        const auto current = m_services->configuration->current();
        const auto isConflict = framework::kindOf(version.error()) == framework::FailureKind::Conflict;
        co_return errorResponse(version.error(), isConflict && current ? Json{{"currentVersion", current->version}} : Json(nullptr));
    }
    if (change.value().document.empty()) {
        co_return jsonResponse(200, {{"done", true}});
    }
    co_return co_await confirmationResponse(change.value().document, version.value(), framework::boolAt(request.body, "wait", true));
}

auto ChangeEndpoints::confirmationResponse(std::string document, std::uint64_t version, bool wait) -> Async<HttpResponse>
{
    const auto names = dataCentreNames(*m_services);
    const auto state = wait ? co_await m_services->confirmations->wait(document, version, names, s_confirmationTimeout)
                            : m_services->confirmations->state(document, version, names);
    co_return jsonResponse(200, {{"document", document}, {"version", version}, {"dataCentres", confirmationsJson(state)}});
}

auto ChangeEndpoints::parseChange(const AdministrationRequest& request) -> Result<Change>
{
    const auto& kind = request.path.front();
    if (kind == "keys") {
        return keyChange(request);
    }
    if (kind == "drains") {
        return drainChange(request);
    }
    if (kind == "outcomes") {
        return outcomeChange(request);
    }
    if (kind == "quarantine") {
        return quarantineChange(request);
    }
    if (kind == "operators") {
        return operatorChange(request);
    }
    if (kind == "configuration") {
        return configurationChange(request);
    }
    if (kind == "stop") {
        return stopChange();
    }
    return AdministrationError::PathUnknown;
}

auto ChangeEndpoints::keyChange(const AdministrationRequest& request) -> Result<Change>
{
    auto change = Change{OperatorRole::Operator, "", "", std::string(accounts::s_keysDocument), nullptr};
    if (request.method == "DELETE" && request.path.size() == 2 && isHash(request.path[1])) {
        const auto hash = request.path[1];
        for (const auto& entry : m_services->keys->entries()) {
            if (entry.keyHash == hash && !mayAccessAccount(*m_services, request.actor, entry.account)) {
                return AdministrationError::OtherTeam;
            }
        }
        change.action = "withdraw-key";
        change.target = hash;
        change.make = [keys = m_services->keys, hash] { return keys->withdraw(hash); };
        return change;
    }
    const auto hash = stringAt(request.body, "keyHash");
    const auto account = stringAt(request.body, "account");
    const auto current = m_services->configuration->current();
    if (request.method != "POST" || !isHash(hash)) {
        return AdministrationError::BodyInvalid;
    }
    if (!current || current->clientAccount(account) == nullptr) {
        return accounts::AccountError::AccountUnknown;
    }
    if (!mayAccessAccount(*m_services, request.actor, account)) {
        return AdministrationError::OtherTeam;
    }
    change.action = "give-key";
    change.target = account + " " + hash;
    change.make = [keys = m_services->keys, hash, account] { return keys->issue(hash, account); };
    return change;
}

auto ChangeEndpoints::drainChange(const AdministrationRequest& request) -> Result<Change>
{
    const auto kind = stringAt(request.body, "kind");
    const auto name = stringAt(request.body, "name");
    const auto isDataCentre = kind == "dataCentre";
    if (request.method != "POST" || name.empty() || (!isDataCentre && kind != "backendServer") || !request.body.contains("drained")) {
        return AdministrationError::BodyInvalid;
    }
    if (!request.actor.team.empty()) {
        return AdministrationError::OtherTeam;
    }
    const auto isDrained = framework::boolAt(request.body, "drained");
    const auto state = isDrained ? configuration::DrainState::Drained : configuration::DrainState::Serving;
    auto change = Change{OperatorRole::Operator, isDrained ? "drain" : "return", kind + " " + name,
                         std::string(configuration::s_configurationDocument), nullptr};
    change.make = [drains = m_services->drains, name, state, isDataCentre] {
        return isDataCentre ? drains->setDataCentre(name, state) : drains->setBackendServer(name, state);
    };
    return change;
}

auto ChangeEndpoints::outcomeChange(const AdministrationRequest& request) -> Result<Change>
{
    const auto account = stringAt(request.body, "account");
    const auto hash = stringAt(request.body, "keyHash");
    const auto finding = stringAt(request.body, "finding");
    const auto reason = stringAt(request.body, "why");
    if (request.method != "POST" || account.empty() || hash.empty() || reason.empty() || (finding != "ran" && finding != "not-run")) {
        return AdministrationError::BodyInvalid;
    }
    if (!mayAccessAccount(*m_services, request.actor, account)) {
        return AdministrationError::OtherTeam;
    }
    auto change = Change{OperatorRole::Operator, "resolve-outcome", account + " " + hash + " " + finding, {}, nullptr};
    const auto found = finding == "ran" ? calls::Finding::Ran : calls::Finding::NotRun;
    change.make = [outcomes = m_services->outcomes, account, hash, found, actor = request.actor.name,
                   reason]() -> AsyncResult<std::uint64_t> {
        BOOST_OUTCOME_CO_TRYV(co_await outcomes->settle(account, hash, found, actor, reason));
        co_return std::uint64_t{0};
    };
    return change;
}

auto ChangeEndpoints::quarantineChange(const AdministrationRequest& request) -> Result<Change>
{
    const auto fingerprint = stringAt(request.body, "fingerprint");
    const auto reason = stringAt(request.body, "why");
    if (request.method != "POST" || fingerprint.empty() || reason.empty()) {
        return AdministrationError::BodyInvalid;
    }
    if (!request.actor.team.empty()) {
        return AdministrationError::OtherTeam;
    }
    auto change = Change{OperatorRole::Operator, "release-quarantine", fingerprint, {}, nullptr};
    change.make = [quarantine = m_services->quarantine, fingerprint, actor = request.actor.name, reason]() -> AsyncResult<std::uint64_t> {
        BOOST_OUTCOME_CO_TRYV(co_await quarantine->release(fingerprint, actor, reason));
        co_return std::uint64_t{0};
    };
    return change;
}

auto ChangeEndpoints::operatorChange(const AdministrationRequest& request) -> Result<Change>
{
    if (!request.actor.team.empty()) {
        return AdministrationError::OtherTeam;
    }
    auto change = Change{OperatorRole::Administrator, "", "", {}, nullptr};
    if (request.method == "DELETE" && request.path.size() == 2) {
        const auto hash = request.path[1];
        change.action = "withdraw-operator";
        change.target = hash;
        change.make = [operators = m_services->operators, hash]() -> AsyncResult<std::uint64_t> {
            BOOST_OUTCOME_CO_TRYV(co_await operators->withdraw(hash));
            co_return std::uint64_t{0};
        };
        return change;
    }
    const auto role = roleFromName(stringAt(request.body, "role"));
    const auto entry = OperatorEntry{stringAt(request.body, "keyHash"), stringAt(request.body, "name"), role.value_or(OperatorRole::Viewer),
                                     stringAt(request.body, "team")};
    if (request.method != "POST" || !role || !isHash(entry.keyHash) || entry.name.empty()) {
        return AdministrationError::BodyInvalid;
    }
    change.action = "give-operator";
    change.target = entry.name + " " + std::string(roleName(entry.role)) + " " + entry.team;
    change.make = [operators = m_services->operators, entry]() -> AsyncResult<std::uint64_t> {
        BOOST_OUTCOME_CO_TRYV(co_await operators->issue(entry));
        co_return std::uint64_t{0};
    };
    return change;
}

auto ChangeEndpoints::configurationChange(const AdministrationRequest& request) -> Result<Change>
{
    if (request.method != "PUT" || !request.body.contains("configuration") || !request.body.contains("expected")) {
        return AdministrationError::BodyInvalid;
    }
    if (!request.actor.team.empty()) {
        return AdministrationError::OtherTeam;
    }
    auto change =
        Change{OperatorRole::Administrator, "apply-configuration", {}, std::string(configuration::s_configurationDocument), nullptr};
    const auto expected = static_cast<std::uint64_t>(framework::integerAt(request.body, "expected"));
    change.target = "after version " + std::to_string(expected);
    change.make = [configuration = m_services->configuration, document = request.body["configuration"], expected] {
        return configuration->apply(document, expected);
    };
    return change;
}

auto ChangeEndpoints::stopChange() -> Result<Change>
{
    auto change = Change{OperatorRole::Operator, "stop-host", m_services->membership->self().id.host, {}, nullptr};
    change.make = []() -> AsyncResult<std::uint64_t> {
        std::raise(SIGTERM);
        co_return std::uint64_t{0};
    };
    return change;
}

} // namespace laburnummill::administration
