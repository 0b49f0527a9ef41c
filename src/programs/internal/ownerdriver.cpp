#include "programs/internal/ownerdriver.h"

#include "coordination/rendezvous.h"
#include "programs/programerrors.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include <sstream>

namespace laburnummill::programs {

using calls::CallOutcome;
using coordination::ShardKind;
using framework::Async;
using framework::AsyncResult;
using framework::Json;
using framework::Milliseconds;
using framework::Result;
using framework::success;
using platform::PlatformError;

namespace {

constexpr auto s_maxHeldBytes = std::size_t{4} * 1024 * 1024;
constexpr auto s_peerTimeout = Milliseconds(500);
constexpr auto s_holdRetryInterval = Milliseconds(200);
constexpr auto s_accepted = std::string_view("held");

class ShardLeases final : public ILeases
{
public:
    explicit ShardLeases(std::shared_ptr<coordination::IShards> shards)
        : m_shards(std::move(shards))
    {}

    auto fencingOf(const std::string& program) const -> std::optional<std::uint64_t> override
    {
        const auto fencing = m_shards->mayAct(shardOf(program));
        return fencing ? std::optional(fencing.value()) : std::nullopt;
    }

private:
    std::shared_ptr<coordination::IShards> m_shards;
};

auto ownerSettings(const coordination::Member& self) -> OwnerSettings
{
    auto settings = OwnerSettings();
    settings.self = self.id.host + "/" + std::to_string(self.id.incarnation);
    settings.queue.objectPrefix = "history-" + self.id.host + "-" + std::to_string(self.id.incarnation) + "-";
    return settings;
}

auto appendLines(const std::string& text, std::vector<std::string>& lines) -> void
{
    auto stream = std::istringstream(text);
    for (auto line = std::string(); std::getline(stream, line);) {
        lines.push_back(line);
    }
}

} // namespace

auto shardOf(const std::string& program) -> coordination::ShardKey
{
    return {ShardKind::Program, rootOf(program), program.substr(0, program.find('.'))};
}

OwnerDriver::OwnerDriver(framework::asio::any_io_executor executor, ProgramServices services)
    : m_executor(std::move(executor))
    , m_services(std::move(services))
    , m_owner(ownerSettings(m_services.membership->self()), std::make_shared<ShardLeases>(m_services.shards))
    , m_held(s_maxHeldBytes)
{}

auto OwnerDriver::moment() const -> Moment
{
    return {m_services.clock->now(), static_cast<std::uint64_t>(framework::unixMilliseconds(m_services.clock->wallTime()))};
}

auto OwnerDriver::start(std::string account, std::string program) -> Async<StatusOutcome>
{
    const auto ticket = m_nextTicket++;
    co_return co_await awaitStatus(ticket, m_owner.start(ticket, program, account, moment()));
}

auto OwnerDriver::status(std::string account, std::string program) -> Async<StatusOutcome>
{
    const auto ticket = m_nextTicket++;
    co_return co_await awaitStatus(ticket, m_owner.status(ticket, account, program, moment()));
}

auto OwnerDriver::end(std::string account, std::string program) -> Async<StatusOutcome>
{
    const auto ticket = m_nextTicket++;
    co_return co_await awaitStatus(ticket, m_owner.end(ticket, account, program, moment()));
}

auto OwnerDriver::awaitStatus(Ticket ticket, Actions actions) -> Async<StatusOutcome>
{
    const auto queue = std::make_shared<StatusQueue>(m_executor);
    m_statusWaits[ticket] = queue;
    performAll(std::move(actions));
    auto outcome = co_await queue->pop();
    co_return std::move(*outcome.value());
}

auto OwnerDriver::call(ProgramCall call, backends::IPieceSink& sink, framework::CancellationPtr cancellation) -> Async<CallOutcome>
{
    const auto ticket = m_nextTicket++;
    const auto queue = std::make_shared<CallQueue>(m_executor);
    m_callWaits[ticket] = queue;
    m_runs[ticket] = {&sink, std::move(cancellation)};
    if (const auto current = m_services.configuration->current()) {
        m_owner.setLimits(current->programs);
    }
    performAll(m_owner.call(ticket, std::move(call), moment()));
    auto outcome = co_await queue->pop();
    m_runs.erase(ticket);
    co_return std::move(*outcome.value());
}

auto OwnerDriver::performAll(Actions actions) -> void
{
    for (auto& action : actions) {
        if (auto* answer = std::get_if<Answer>(&action)) {
            if (const auto wait = m_callWaits.extract(answer->ticket); !wait.empty()) {
                wait.mapped()->push(std::move(answer->outcome));
            }
        } else if (auto* status = std::get_if<AnswerStatus>(&action)) {
            if (const auto wait = m_statusWaits.extract(status->ticket); !wait.empty()) {
                wait.mapped()->push(std::move(status->outcome));
            }
        } else if (const auto* drop = std::get_if<DropHeld>(&action)) {
            dropHeld(*drop);
        } else {
            auto work = [self = shared_from_this(), action = std::move(action)]() mutable -> Async<void> {
                co_await self->perform(std::move(action));
            };
            framework::asio::co_spawn(m_executor, std::move(work), framework::asio::detached);
        }
    }
}

auto OwnerDriver::perform(Action action) -> Async<void>
{
    if (auto* toLoad = std::get_if<LoadProgram>(&action)) {
        co_await load(std::move(*toLoad));
    } else if (auto* toWrite = std::get_if<WriteRow>(&action)) {
        const auto written = co_await m_services.tables->writeOne(toWrite->change);
        performAll(m_owner.rowWritten(toWrite->program, written, moment()));
    } else if (auto* toRun = std::get_if<RunCall>(&action)) {
        co_await runCall(std::move(*toRun));
    } else if (auto* batch = std::get_if<WriteBatch>(&action)) {
        co_await writeBatch(std::move(*batch));
    } else if (auto* toRead = std::get_if<ReadRows>(&action)) {
        auto keys = std::vector<platform::RowKey>();
        for (const auto& program : toRead->programs) {
            keys.push_back(rowKeyOf(program));
        }
        auto rows = co_await m_services.tables->read(std::move(keys));
        performAll(m_owner.rowsRead(std::move(rows), moment()));
    } else if (auto* hold = std::get_if<HoldRecord>(&action)) {
        co_await holdRecord(std::move(*hold));
    } else if (auto* toRelease = std::get_if<ReleaseMemory>(&action)) {
        co_await release(std::move(toRelease->program));
    }
}

auto OwnerDriver::load(LoadProgram action) -> Async<void>
{
    const auto program = action.program;
    auto loaded = co_await read(std::move(action));
    performAll(m_owner.loaded(program, std::move(loaded), moment()));
}

auto OwnerDriver::read(LoadProgram action) -> AsyncResult<LoadedProgram>
{
    BOOST_OUTCOME_CO_TRY(const auto row, co_await m_services.tables->readOne(rowKeyOf(action.program)));
    auto loaded = LoadedProgram();
    if (!row) {
        co_return loaded;
    }
    loaded.row = rowFromText(row->value);
    loaded.rowVersion = row->version;
    for (const auto& batch : loaded.row->batches) {
        BOOST_OUTCOME_CO_TRY(const auto text, co_await m_services.objects->read(batch));
        appendLines(text, loaded.lines);
    }
    if (action.askPeers) {
        BOOST_OUTCOME_CO_TRYV(co_await collect(action.program, action.fencing, loaded.held));
    }
    co_return loaded;
}

auto OwnerDriver::collect(const std::string& program, std::uint64_t fencing, std::vector<std::string>& held) -> AsyncResult<void>
{
    const auto root = rootOf(program);
    held = m_held.collect(root, fencing);
    const auto query = framework::dumpJson({{"root", root}, {"fencing", fencing}});
    for (const auto& member : otherMembers()) {
        const auto answer = co_await m_services.peers->request(member.address, "programs.collect", query, s_peerTimeout);
        if (!answer) {
            //! NOTE A live peer that cannot be queried may hold the program's last turns: fail rather than lose them.
            if (m_services.membership->isAlive(member.id)) {
                co_return ProgramError::HistoryUnavailable;
            }
            continue;
        }
        const auto lines = framework::parseJson(answer.value()).value_or(Json::array());
        for (const auto& line : lines) {
            held.push_back(line.is_string() ? line.get<std::string>() : std::string());
        }
    }
    co_return success();
}

auto OwnerDriver::runCall(RunCall action) -> Async<void>
{
    const auto ticket = action.ticket;
    auto& call = action.call;
    const auto run = m_runs.at(ticket);
    auto request = calls::CallRequest{call.account,         call.route,   call.program,         call.program + "/" + call.call,
                                      std::move(call.body), call.timeout, shardOf(call.program)};
    auto outcome = co_await m_services.calls->run(std::move(request), *run.sink, run.cancellation);
    performAll(m_owner.callFinished(ticket, std::move(outcome), moment()));
}

auto OwnerDriver::writeBatch(WriteBatch action) -> Async<void>
{
    const auto startedAt = m_services.clock->now();
    auto written = co_await commit(action);
    const auto elapsed = std::chrono::duration<double, std::milli>(m_services.clock->now() - startedAt);
    m_services.metrics->record("history_write_ms", elapsed.count());
    performAll(m_owner.batchWritten(std::move(written), moment()));
}

auto OwnerDriver::commit(const WriteBatch& batch) -> AsyncResult<std::vector<std::uint64_t>>
{
    if (batch.records > 0) {
        if (const auto put = co_await m_services.objects->put(batch.object, batch.body); !put) {
            co_return PlatformError::Unavailable;
        }
    }
    for (const auto& change : batch.rows) {
        if (!m_services.shards->mayAct(shardOf(change.key.key))) {
            co_return PlatformError::Conflict;
        }
    }
    co_return co_await m_services.tables->transact(batch.rows);
}

auto OwnerDriver::otherMembers() const -> std::vector<coordination::Member>
{
    const auto& self = m_services.membership->self();
    auto members = m_services.membership->members(self.dataCentre);
    std::erase_if(members, [&self](const auto& member) { return member.id == self.id; });
    return members;
}

auto OwnerDriver::holdRecord(HoldRecord action) -> Async<void>
{
    (void)m_held.hold(action.program, action.turn, action.line, action.fencing);
    const auto message =
        framework::dumpJson({{"program", action.program}, {"turn", action.turn}, {"line", action.line}, {"fencing", action.fencing}});
    auto copies = std::size_t{0};
    for (const auto& peer : coordination::rankByRendezvous(shardOf(action.program), otherMembers())) {
        const auto answer = co_await m_services.peers->request(peer.address, "programs.hold", message, s_peerTimeout);
        copies += answer && answer.value() == s_accepted ? 1 : 0;
        if (copies == 2) {
            break;
        }
    }
    if (copies < 2) {
        co_await framework::sleepFor(s_holdRetryInterval);
    }
    performAll(m_owner.recordHeld(action.program, action.turn, copies, moment()));
}

auto OwnerDriver::dropHeld(const DropHeld& action) -> void
{
    m_held.drop(action.program, action.turn);
    const auto message = framework::dumpJson({{"program", action.program}, {"turn", action.turn}});
    for (const auto& member : otherMembers()) {
        m_services.peers->send(member.address, "programs.drop", message);
    }
}

auto OwnerDriver::serveHoldRequests() -> void
{
    auto& peers = *m_services.peers;
    peers.serve("programs.hold", [this](std::string payload, std::shared_ptr<framework::IPeerResponder> responder) -> Async<void> {
        const auto message = framework::parseJson(payload).value_or(Json::object());
        const auto turn = static_cast<std::uint32_t>(framework::integerAt(message, "turn"));
        const auto fencing = static_cast<std::uint64_t>(framework::integerAt(message, "fencing"));
        const auto isHeld = m_held.hold(framework::stringAt(message, "program"), turn, framework::stringAt(message, "line"), fencing);
        responder->write(isHeld ? std::string(s_accepted) : std::string("refused"));
        responder->end();
        co_return;
    });
    peers.serve("programs.collect", [this](std::string payload, std::shared_ptr<framework::IPeerResponder> responder) -> Async<void> {
        const auto message = framework::parseJson(payload).value_or(Json::object());
        const auto fencing = static_cast<std::uint64_t>(framework::integerAt(message, "fencing"));
        responder->write(framework::dumpJson(Json(m_held.collect(framework::stringAt(message, "root"), fencing))));
        responder->end();
        co_return;
    });
    peers.listenFor("programs.drop", [this](const std::string& payload) {
        const auto message = framework::parseJson(payload).value_or(Json::object());
        m_held.drop(framework::stringAt(message, "program"), static_cast<std::uint32_t>(framework::integerAt(message, "turn")));
    });
    peers.listenFor("programs.recover", [this](const std::string& program) { performAll(m_owner.recover(program, moment())); });
}

} // namespace laburnummill::programs
