#include "testing/measure/history/historyload.h"

#include <algorithm>

namespace laburnummill::testing {

using framework::Json;
using framework::Milliseconds;
using programs::Actions;

namespace {

constexpr auto s_second = std::int64_t{1'000'000};
constexpr auto s_roundTrip = std::int64_t{2'000};
constexpr auto s_runTime = std::int64_t{200'000};
constexpr auto s_tick = std::int64_t{10'000};
constexpr auto s_warmUp = std::int64_t{5} * s_second;
constexpr auto s_settle = std::int64_t{15} * s_second;
constexpr auto s_answerBytes = std::size_t{800};
constexpr auto s_writesPerBatch = 2.0;

class Always final : public programs::ILeases
{
public:
    auto fencingOf(const std::string& /*program*/) const -> std::optional<std::uint64_t> override { return 1; }
};

auto quantile(std::vector<double>& samples, double share) -> double
{
    if (samples.empty()) {
        return 0;
    }
    std::ranges::sort(samples);
    const auto index = static_cast<std::size_t>(share * static_cast<double>(samples.size() - 1));
    return samples[index];
}

} // namespace

HistoryLoad::HistoryLoad(Options options)
    : m_options(options)
    , m_random(options.seed)
{
    const auto paceMs = s_writesPerBatch * static_cast<double>(options.owners) / (options.writesPerSecond * options.shareOfWrites) * 1'000;
    for (auto owner = std::size_t{0}; owner < options.owners; ++owner) {
        auto settings = programs::OwnerSettings();
        settings.self = "host-" + std::to_string(owner) + "/1";
        settings.queue.objectPrefix = "history-" + std::to_string(owner) + "-";
        settings.queue.interval = Milliseconds(static_cast<std::int64_t>(paceMs));
        settings.limits = {1'000'000, 1'000'000'000'000, 1'000'000'000, 1'000'000'000};
        settings.maxHistoryBytes = std::size_t{1} << 40;
        m_owners.push_back(std::make_unique<programs::ProgramOwner>(settings, std::make_shared<Always>()));
    }
}

auto HistoryLoad::moment() const -> programs::Moment
{
    return {framework::Instant(framework::Microseconds(m_now + s_second)), static_cast<std::uint64_t>(m_now / 1'000 + 1'000)};
}

auto HistoryLoad::later(Micros delay, std::function<void()> act) -> void
{
    m_queue.push(m_now + delay, std::move(act));
}

auto HistoryLoad::writeDelay() -> Micros
{
    const auto service = static_cast<Micros>(static_cast<double>(s_second) / m_options.writesPerSecond);
    m_storeFreeAt = std::max(m_storeFreeAt, m_now + s_roundTrip / 2) + service;
    m_writes += m_now >= s_warmUp && m_now <= m_options.seconds * s_second ? 1 : 0;
    return m_storeFreeAt + s_roundTrip / 2 - m_now;
}

auto HistoryLoad::write(std::size_t owner, const programs::WriteBatch& batch) -> void
{
    later(writeDelay(), [this, owner, batch] {
        later(writeDelay(),
              [this, owner, batch] { perform(owner, m_owners[owner]->batchWritten(m_tables.transactNow(batch.rows), moment())); });
    });
}

auto HistoryLoad::perform(std::size_t owner, Actions actions) -> void
{
    for (const auto& action : actions) {
        if (const auto* row = std::get_if<programs::WriteRow>(&action)) {
            const auto version = m_tables.transactNow({row->change}).value().front();
            perform(owner, m_owners[owner]->rowWritten(row->program, version, moment()));
        } else if (const auto* run = std::get_if<programs::RunCall>(&action)) {
            later(s_runTime, [this, owner, ticket = run->ticket] {
                auto answer = calls::CallAnswer();
                answer.body = std::string(s_answerBytes, 'a');
                m_finishedAt[ticket] = m_now;
                perform(owner, m_owners[owner]->callFinished(ticket, answer, moment()));
            });
        } else if (const auto* batch = std::get_if<programs::WriteBatch>(&action)) {
            write(owner, *batch);
        } else if (const auto* hold = std::get_if<programs::HoldRecord>(&action)) {
            perform(owner, m_owners[owner]->recordHeld(hold->program, hold->turn, 2, moment()));
        } else if (const auto* answer = std::get_if<programs::Answer>(&action)) {
            const auto program = m_tickets.extract(answer->ticket).mapped();
            m_waiting[program] = false;
            if (std::holds_alternative<calls::CallFailure>(answer->outcome)) {
                ++m_refused;
                continue;
            }
            ++m_answered[program];
            if (m_now >= s_warmUp) {
                m_samples.push_back(static_cast<double>(m_now - m_finishedAt[answer->ticket]) / 1'000);
            }
            m_finishedAt.erase(answer->ticket);
        }
    }
}

auto HistoryLoad::arrive() -> void
{
    const auto gap = std::exponential_distribution<double>(m_options.turnsPerSecond)(m_random);
    later(static_cast<Micros>(gap * static_cast<double>(s_second)), [this] { arrive(); });
    if (m_now > m_options.seconds * s_second) {
        return;
    }
    const auto owner = m_random() % m_options.owners;
    const auto program = "dc." + std::to_string(owner) + "x" + std::to_string(m_random() % m_options.programsEach);
    if (m_waiting[program]) {
        return;
    }
    m_waiting[program] = true;
    const auto ticket = m_nextTicket++;
    m_tickets[ticket] = program;
    const auto turn = m_answered[program] + 1;
    const auto call =
        programs::ProgramCall{"account", program, "call-" + std::to_string(turn), turn, "records", "{}", Milliseconds(60'000)};
    perform(owner, m_owners[owner]->call(ticket, call, moment()));
}

auto HistoryLoad::tick(std::size_t owner) -> void
{
    perform(owner, m_owners[owner]->tick(moment()));
    later(s_tick, [this, owner] { tick(owner); });
}

auto HistoryLoad::lostTurns() -> std::uint64_t
{
    auto lost = std::uint64_t{0};
    for (const auto& [program, turns] : m_answered) {
        const auto row = m_tables.readNow(programs::rowKeyOf(program));
        const auto stored = row ? programs::rowFromText(row->value).turns : 0;
        lost += turns > stored ? turns - stored : 0;
    }
    return lost;
}

auto HistoryLoad::run() -> Json
{
    for (auto owner = std::size_t{0}; owner < m_options.owners; ++owner) {
        for (auto number = std::size_t{0}; number < m_options.programsEach; ++number) {
            const auto program = "dc." + std::to_string(owner) + "x" + std::to_string(number);
            perform(owner, m_owners[owner]->start(0, program, "account", moment()));
        }
        later(static_cast<Micros>(m_random() % s_tick), [this, owner] { tick(owner); });
    }
    arrive();
    while (m_now < m_options.seconds * s_second + s_settle) {
        const auto event = m_queue.pop();
        m_now = event.at;
        event.run();
    }
    const auto measured = static_cast<double>(m_options.seconds) - static_cast<double>(s_warmUp) / static_cast<double>(s_second);
    const auto turns = static_cast<double>(m_samples.size());
    auto held = std::uint64_t{0};
    for (const auto& owner : m_owners) {
        held += owner->counts().heldTurns;
    }
    return {{"owners", m_options.owners},
            {"turns_per_second", turns / measured},
            {"commit_ms_p50", quantile(m_samples, 0.5)},
            {"commit_ms_p99", quantile(m_samples, 0.99)},
            {"writes_per_second", static_cast<double>(m_writes) / measured},
            {"turns_per_write", m_writes == 0 ? 0 : turns / static_cast<double>(m_writes)},
            {"held_turns", held},
            {"refused", m_refused},
            {"lost_turns", lostTurns()}};
}

} // namespace laburnummill::testing
