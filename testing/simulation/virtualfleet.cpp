#include "testing/simulation/virtualfleet.h"

namespace laburnummill::testing {

using coordination::Actions;
using coordination::Participant;
using framework::Instant;
using framework::Microseconds;
using framework::Milliseconds;

namespace {

constexpr auto s_tick = Milliseconds(50);
constexpr auto s_checkEvery = Milliseconds(20);
constexpr auto s_networkDelay = std::uint64_t{1'000};      ///< microseconds, at most
constexpr auto s_longestDelay = std::uint64_t{12'000'000}; ///< microseconds
constexpr auto s_leavePatience = Milliseconds(2'000);
constexpr auto s_maxEvents = std::size_t{40};
constexpr auto s_shards = std::size_t{8};
constexpr auto s_maxDriftPermille = 45;
constexpr auto s_firstPort = std::uint16_t{1'000};

auto shardKey(const std::string& name) -> coordination::ShardKey
{
    return {coordination::ShardKind::Program, name, "dc"};
}

} // namespace

VirtualFleet::VirtualFleet(std::size_t hosts, std::uint64_t seed, const coordination::ProtocolRules& rules)
    : m_rules(rules)
    , m_random(seed)
    , m_now(std::chrono::hours(1))
{
    m_hosts.resize(hosts);
    for (auto index = std::size_t{0}; index < hosts; ++index) {
        m_hosts[index].name = "entry-" + std::to_string(index + 1);
        m_hosts[index].driftPermille = static_cast<int>(m_random() % (2 * s_maxDriftPermille + 1)) - s_maxDriftPermille;
        start(index);
    }
}

auto VirtualFleet::localTime(const Host& host) const -> Instant
{
    return Instant(m_now.time_since_epoch() * (1'000 + host.driftPermille) / 1'000);
}

auto VirtualFleet::note(std::string event) -> void
{
    const auto time = std::chrono::duration_cast<Milliseconds>(m_now.time_since_epoch()).count();
    m_events.push_back(std::to_string(time) + " ms " + std::move(event));
    if (m_events.size() > s_maxEvents) {
        m_events.pop_front();
    }
}

auto VirtualFleet::at(Microseconds delay, std::function<void()> run) -> void
{
    m_queue.push(m_now + delay, std::move(run));
}

auto VirtualFleet::atHost(std::size_t host, Microseconds delay, std::function<Actions(Participant&, Instant)> run) -> void
{
    const auto life = m_hosts[host].life;
    at(delay, [this, host, life, run = std::move(run)] { deliver(host, life, run); });
}

auto VirtualFleet::deliver(std::size_t index, std::uint64_t life, const std::function<Actions(Participant&, Instant)>& run) -> void
{
    auto& host = m_hosts[index];
    if (!host.participant || host.life != life) {
        return;
    }
    if (host.paused) {
        host.held.emplace_back([this, index, life, run] { deliver(index, life, run); });
        return;
    }
    const auto before = host.participant->view("dc");
    perform(index, run(*host.participant, localTime(host)));
    if (const auto view = host.participant->view("dc"); view != before) {
        note(host.name + " adopts view " + std::to_string(view->number) + " of " + std::to_string(view->members.size()));
    }
}

auto VirtualFleet::start(std::size_t index) -> void
{
    auto& host = m_hosts[index];
    ++host.life;
    host.paused = false;
    host.leavesBy.reset();
    host.held.clear();
    const auto port = static_cast<std::uint16_t>(s_firstPort + index);
    const auto self = coordination::Member{{host.name, host.life}, "dc", {"10.0.0.1", port}};
    host.participant = std::make_unique<Participant>(self, std::vector<framework::Endpoint>{}, m_rules, m_random());
    note(host.name + " starts");
    tick(index, host.life);
}

auto VirtualFleet::crash(std::size_t index) -> void
{
    auto& host = m_hosts[index];
    if (host.participant) {
        host.pastViolations += host.participant->invariants().violations();
        host.participant.reset();
        host.paused = false;
        note(host.name + " ends");
    }
}

auto VirtualFleet::pause(std::size_t index) -> void
{
    m_hosts[index].paused = true;
    note(m_hosts[index].name + " pauses");
}

auto VirtualFleet::resume(std::size_t index) -> void
{
    auto& host = m_hosts[index];
    host.paused = false;
    note(host.name + " goes on");
    const auto held = std::move(host.held);
    host.held.clear();
    for (const auto& event : held) {
        //! NOTE Late answers are worked off one by one, with time between them in which the process may act.
        at(Microseconds(m_random() % s_networkDelay), event);
    }
}

auto VirtualFleet::leave(std::size_t index) -> void
{
    auto& host = m_hosts[index];
    note(host.name + " leaves");
    host.leavesBy = m_now + s_leavePatience;
    perform(index, host.participant->leave(localTime(host)));
}

auto VirtualFleet::tick(std::size_t index, std::uint64_t life) -> void
{
    auto& host = m_hosts[index];
    if (!host.participant || host.life != life) {
        return;
    }
    if (!host.paused) {
        deliver(index, life, [](auto& participant, Instant now) { return participant.tick(now); });
        if (host.leavesBy && (host.participant->hasLeft() || m_now >= *host.leavesBy)) {
            crash(index);
            return;
        }
    }
    at(s_tick, [this, index, life] { tick(index, life); });
}

auto VirtualFleet::perform(std::size_t host, Actions actions) -> void
{
    for (auto& action : actions) {
        if (const auto* message = std::get_if<coordination::SendMessage>(&action)) {
            send(host, *message);
        } else if (const auto* heads = std::get_if<coordination::ReadHeads>(&action)) {
            const auto result = std::make_shared<coordination::Heads>();
            ask(
                host, [this, result] { *result = m_store.heads(); },
                [id = heads->request, result](auto& participant, Instant now, bool answered) {
                    return participant.headsRead(id, answered ? std::optional(*result) : std::nullopt, now);
                });
        } else if (const auto* read = std::get_if<coordination::ReadView>(&action)) {
            const auto result = std::make_shared<coordination::RowState>();
            ask(
                host, [this, result, dataCentre = read->dataCentre] { *result = m_store.read(dataCentre); },
                [id = read->request, result](auto& participant, Instant now, bool answered) {
                    return participant.viewRead(id, answered ? std::optional(*result) : std::nullopt, now);
                });
        } else if (const auto* write = std::get_if<coordination::WriteView>(&action)) {
            const auto result = std::make_shared<coordination::WriteOutcome>();
            ask(
                host, [this, result, write = *write] { *result = m_store.write(write.view, write.expected); },
                [id = write->request, result](auto& participant, Instant now, bool answered) {
                    return participant.viewWritten(id, answered ? *result : coordination::WriteOutcome{}, now);
                });
        }
    }
}

auto VirtualFleet::send(std::size_t from, const coordination::SendMessage& action) -> void
{
    const auto to = static_cast<std::size_t>(action.to.port - s_firstPort);
    const auto isCut = m_faults.cutOffPeers.contains(m_hosts[from].name) != m_faults.cutOffPeers.contains(m_hosts[to].name);
    const auto isMissed = std::holds_alternative<coordination::ViewPush>(action.message) && m_faults.missViews.contains(m_hosts[to].name);
    if (isCut || isMissed || chance(m_faults.loseMessagesPercent)) {
        return;
    }
    auto message = action.message;
    if (auto* request = std::get_if<coordination::RenewRequest>(&message);
        request != nullptr && m_faults.missViews.contains(m_hosts[to].name)) {
        request->newView.reset();
    }
    const auto delay = Microseconds(m_random() % (chance(m_faults.delayMessagesPercent) ? s_longestDelay : s_networkDelay));
    atHost(to, delay, [message = std::move(message)](auto& participant, Instant now) { return participant.receive(message, now); });
}

auto VirtualFleet::ask(std::size_t host, const std::function<void()>& effect, std::function<Actions(Participant&, Instant, bool)> answer)
    -> void
{
    const auto isDown = m_faults.storeDown || m_faults.cutOffStore.contains(m_hosts[host].name);
    const auto isLost = chance(m_faults.loseStoreAnswersPercent);
    const auto wait = [this] {
        return Microseconds(m_random() % (chance(m_faults.delayStorePercent) ? s_longestDelay : 4 * s_networkDelay));
    };
    const auto takesEffectIn = wait();
    if (!isDown) {
        at(takesEffectIn, effect);
    }
    const auto answered = !isDown && !isLost;
    atHost(host, takesEffectIn + wait(),
           [answer = std::move(answer), answered](auto& participant, Instant now) { return answer(participant, now, answered); });
}

auto VirtualFleet::actors(const std::string& shard) -> std::vector<std::size_t>
{
    auto found = std::vector<std::size_t>();
    for (auto index = std::size_t{0}; index < m_hosts.size(); ++index) {
        if (isUp(index) && m_hosts[index].participant->mayAct(shardKey(shard), localTime(m_hosts[index]))) {
            found.push_back(index);
        }
    }
    return found;
}

auto VirtualFleet::actor(const std::string& shard) -> std::optional<std::size_t>
{
    const auto found = actors(shard);
    return found.size() == 1 ? std::optional(found.front()) : std::nullopt;
}

auto VirtualFleet::check() -> void
{
    for (auto number = std::size_t{0}; number < s_shards; ++number) {
        const auto shard = "shard-" + std::to_string(number);
        const auto found = actors(shard);
        ++m_checks;
        m_owned += found.size() == 1 ? 1 : 0;
        if (found.size() > 1) {
            ++m_overlaps;
            note("VIOLATION " + shard + " acted for by " + m_hosts[found[0]].name + " and " + m_hosts[found[1]].name);
        }
    }
}

auto VirtualFleet::invariantViolations() const -> std::uint64_t
{
    auto count = std::uint64_t{0};
    for (const auto& host : m_hosts) {
        count += host.pastViolations + (host.participant ? host.participant->invariants().violations() : 0);
    }
    return count;
}

auto VirtualFleet::step() -> void
{
    const auto event = m_queue.pop();
    m_now = event.at;
    event.run();
    if (m_now >= m_nextCheck) {
        m_nextCheck = m_now + s_checkEvery;
        check();
    }
}

auto VirtualFleet::runFor(Milliseconds time) -> void
{
    const auto end = m_now + time;
    while (!m_queue.isEmpty() && m_queue.nextAt() <= end) {
        step();
    }
}

auto VirtualFleet::runUntil(const std::function<bool()>& condition, Milliseconds limit) -> std::optional<Milliseconds>
{
    const auto start = m_now;
    while (m_now - start < limit) {
        if (condition()) {
            return std::chrono::ceil<Milliseconds>(m_now - start);
        }
        step();
    }
    return std::nullopt;
}

} // namespace laburnummill::testing
