#include "administration/internal/queryendpoints.h"

#include "configuration/configurationcodec.h"

#include <charconv>

namespace laburnummill::administration {

using framework::Async;
using framework::HttpResponse;
using framework::Json;

namespace {

constexpr auto s_auditLimit = std::size_t{100};

auto numberOf(const std::map<std::string, std::string>& query, const char* name) -> std::int64_t
{
    const auto found = query.find(name);
    auto value = std::int64_t{0};
    if (found != query.end()) {
        std::from_chars(found->second.data(), found->second.data() + found->second.size(), value);
    }
    return value;
}

auto textOf(const std::map<std::string, std::string>& query, const char* name) -> std::string
{
    const auto found = query.find(name);
    return found == query.end() ? std::string() : found->second;
}

auto wallTime(std::int64_t milliseconds) -> framework::WallTime
{
    return framework::WallTime(framework::Milliseconds(milliseconds));
}

} // namespace

auto mayAccessAccount(const AdministrationServices& services, const OperatorEntry& actor, const std::string& account) -> bool
{
    if (actor.team.empty()) {
        return true;
    }
    const auto current = services.configuration->current();
    const auto* entry = current ? current->clientAccount(account) : nullptr;
    return entry != nullptr && entry->team == actor.team;
}

auto confirmationsJson(const std::vector<gossip::DataCentreConfirmation>& confirmations) -> Json
{
    auto list = Json::array();
    for (const auto& entry : confirmations) {
        list.push_back({{"dataCentre", entry.dataCentre},
                        {"state", gossip::confirmationStateName(entry.state)},
                        {"hostsConfirmed", entry.hostsConfirmed},
                        {"hostsKnown", entry.hostsKnown}});
    }
    return list;
}

auto dataCentreNames(const AdministrationServices& services) -> std::vector<std::string>
{
    auto names = std::vector<std::string>();
    if (const auto current = services.configuration->current()) {
        for (const auto& dataCentre : current->dataCentres) {
            names.push_back(dataCentre.name);
        }
    }
    return names;
}

QueryEndpoints::QueryEndpoints(std::shared_ptr<AdministrationServices> services)
    : m_services(std::move(services))
{}

auto QueryEndpoints::mayAccess(const OperatorEntry& actor, const std::string& account) const -> bool
{
    return mayAccessAccount(*m_services, actor, account);
}

auto QueryEndpoints::answer(const AdministrationRequest& request) -> Async<std::optional<HttpResponse>>
{
    if (request.method != "GET" || request.path.empty()) {
        co_return std::nullopt;
    }
    const auto& kind = request.path.front();
    if (kind == "status") {
        co_return status(request);
    }
    if (kind == "dump") {
        co_return request.actor.team.empty() ? jsonResponse(200, m_services->dump->dump()) : errorResponse(AdministrationError::OtherTeam);
    }
    if (kind == "configuration") {
        co_return co_await configuration(request);
    }
    if (kind == "keys") {
        co_return keys(request);
    }
    if (kind == "confirmations") {
        co_return confirmations(request);
    }
    if (kind == "outcomes") {
        co_return co_await outcomes(request);
    }
    if (kind == "quarantine") {
        co_return quarantine();
    }
    if (kind == "programs") {
        co_return co_await program(request);
    }
    if (kind == "report") {
        co_return co_await report(request);
    }
    if (kind == "operators") {
        co_return co_await operators();
    }
    if (kind == "audit") {
        co_return co_await audit(request);
    }
    co_return std::nullopt;
}

auto QueryEndpoints::status(const AdministrationRequest& /*request*/) const -> HttpResponse
{
    const auto current = m_services->configuration->current();
    auto dataCentres = Json::array();
    const auto version = current ? current->version : 0;
    const auto dataCentreStates =
        m_services->confirmations->state(configuration::s_configurationDocument, version, dataCentreNames(*m_services));
    for (const auto& entry : dataCentreStates) {
        const auto* configured = current->dataCentre(entry.dataCentre);
        auto hosts = Json::array();
        for (const auto& member : m_services->membership->members(entry.dataCentre)) {
            hosts.push_back({{"host", member.id.host}, {"alive", m_services->membership->isAlive(member.id)}});
        }
        dataCentres.push_back({{"name", entry.dataCentre},
                               {"drained", configured != nullptr && configured->drained},
                               {"configuration", gossip::confirmationStateName(entry.state)},
                               {"hosts", std::move(hosts)}});
    }
    auto backends = Json::array();
    if (current) {
        for (const auto& server : current->backendServers) {
            backends.push_back(
                {{"name", server.name}, {"pool", server.pool}, {"dataCentre", server.dataCentre}, {"drained", server.drained}});
        }
    }
    const auto& self = m_services->membership->self();
    return jsonResponse(200, {{"host", self.id.host},
                              {"dataCentre", self.dataCentre},
                              {"ready", m_services->readiness->isReady()},
                              {"runningRequests", m_services->readiness->runningRequests()},
                              {"configurationVersion", version},
                              {"keysVersion", m_services->keys->version()},
                              {"quarantined", m_services->quarantine->list().size()},
                              {"dataCentres", std::move(dataCentres)},
                              {"backendServers", std::move(backends)}});
}

auto QueryEndpoints::configuration(const AdministrationRequest& request) -> Async<HttpResponse>
{
    if (!request.actor.team.empty()) {
        co_return errorResponse(AdministrationError::OtherTeam);
    }
    if (request.path.size() == 2 && request.path[1] == "history") {
        const auto records = co_await m_services->history->records();
        if (!records) {
            co_return errorResponse(records.error());
        }
        auto list = Json::array();
        for (const auto& record : records.value()) {
            list.push_back({{"version", record.version}, {"acceptedAtMs", record.acceptedAt}});
        }
        co_return jsonResponse(200, {{"versions", std::move(list)}});
    }
    if (const auto version = numberOf(request.query, "version"); version > 0) {
        const auto record = co_await m_services->history->record(static_cast<std::uint64_t>(version));
        co_return record ? jsonResponse(200, record.value().document) : errorResponse(record.error());
    }
    const auto current = m_services->configuration->current();
    co_return current ? jsonResponse(200, toJson(*current)) : errorResponse(configuration::ConfigurationError::NoneKnown);
}

auto QueryEndpoints::keys(const AdministrationRequest& request) const -> HttpResponse
{
    auto list = Json::array();
    for (const auto& entry : m_services->keys->entries()) {
        if (mayAccess(request.actor, entry.account)) {
            list.push_back(
                {{"keyHash", entry.keyHash}, {"account", entry.account}, {"version", entry.version}, {"withdrawn", entry.withdrawn}});
        }
    }
    return jsonResponse(200, {{"version", m_services->keys->version()}, {"keys", std::move(list)}});
}

auto QueryEndpoints::confirmations(const AdministrationRequest& request) const -> HttpResponse
{
    const auto version = static_cast<std::uint64_t>(numberOf(request.query, "version"));
    const auto state = m_services->confirmations->state(textOf(request.query, "document"), version, dataCentreNames(*m_services));
    return jsonResponse(200, {{"version", version}, {"dataCentres", confirmationsJson(state)}});
}

auto QueryEndpoints::outcomes(const AdministrationRequest& request) -> Async<HttpResponse>
{
    const auto found = co_await m_services->outcomes->list(textOf(request.query, "after"));
    if (!found) {
        co_return errorResponse(found.error());
    }
    auto list = Json::array();
    for (const auto& outcome : found.value()) {
        if (mayAccess(request.actor, outcome.account)) {
            list.push_back({{"account", outcome.account},
                            {"keyHash", outcome.keyHash},
                            {"attempt", outcome.attempt},
                            {"host", outcome.host},
                            {"startedAtMs", outcome.startedAtMs}});
        }
    }
    co_return jsonResponse(200, {{"outcomes", std::move(list)}});
}

auto QueryEndpoints::quarantine() const -> HttpResponse
{
    auto list = Json::array();
    for (const auto& entry : m_services->quarantine->list()) {
        list.push_back({{"fingerprint", entry.fingerprint},
                        {"crashes", entry.crashes},
                        {"lastCrashMs", entry.lastCrashMs},
                        {"releasedAtMs", entry.releasedAtMs}});
    }
    return jsonResponse(200, {{"quarantined", std::move(list)}});
}

auto QueryEndpoints::program(const AdministrationRequest& request) -> Async<HttpResponse>
{
    const auto account = textOf(request.query, "account");
    if (request.path.size() != 2 || account.empty()) {
        co_return errorResponse(AdministrationError::BodyInvalid);
    }
    if (!mayAccess(request.actor, account)) {
        co_return errorResponse(AdministrationError::OtherTeam);
    }
    const auto outcome = co_await m_services->programs->status(account, request.path[1]);
    if (const auto* failure = std::get_if<calls::CallFailure>(&outcome)) {
        const auto status = failure->kind == framework::FailureKind::NotFound ? 404U : 503U;
        co_return jsonResponse(status, {{"error", {{"code", failure->code}, {"message", failure->text}}}});
    }
    const auto& programStatus = std::get<programs::ProgramStatus>(outcome);
    co_return jsonResponse(200, {{"program", programStatus.program},
                                 {"turns", programStatus.turns},
                                 {"tokens", programStatus.tokens},
                                 {"ended", programStatus.ended}});
}

auto QueryEndpoints::report(const AdministrationRequest& request) -> Async<HttpResponse>
{
    const auto from = numberOf(request.query, "from");
    const auto to = numberOf(request.query, "to");
    if (from <= 0 || to <= from) {
        co_return errorResponse(AdministrationError::BodyInvalid);
    }
    const auto document = co_await m_services->report->build(wallTime(from), wallTime(to), request.actor.team);
    co_return document ? jsonResponse(200, document.value()) : errorResponse(document.error());
}

auto QueryEndpoints::operators() -> Async<HttpResponse>
{
    const auto entries = co_await m_services->operators->list();
    if (!entries) {
        co_return errorResponse(entries.error());
    }
    auto list = Json::array();
    for (const auto& entry : entries.value()) {
        list.push_back({{"keyHash", entry.keyHash}, {"name", entry.name}, {"role", roleName(entry.role)}, {"team", entry.team}});
    }
    co_return jsonResponse(200, {{"operators", std::move(list)}});
}

auto QueryEndpoints::audit(const AdministrationRequest& request) -> Async<HttpResponse>
{
    const auto entries = co_await m_services->audit->latest(s_auditLimit, request.actor.team);
    co_return entries ? jsonResponse(200, {{"entries", entries.value()}}) : errorResponse(entries.error());
}

} // namespace laburnummill::administration
