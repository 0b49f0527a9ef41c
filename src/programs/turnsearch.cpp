#include "framework/global/tasks.h"
#include "framework/logging/log.h"
#include "peers/callall.h"
#include "programs/staggeredattempts.h"
#include "programs/turnjournal.h"

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// The part of TurnJournal that finds turns: in local memory, at the program's home host, in the store, at other hosts.

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// Interval in which a search that waits for the store considers its state.
constexpr auto s_storePollInterval = Milliseconds(40);
constexpr auto s_queryTimeout = Milliseconds(250);

/// The home host answers from memory, in the same data centre.
constexpr auto s_homeTimeout = Milliseconds(100);

/// How long a search waits for a store that answers, and further after the other hosts were queried.
constexpr auto s_searchTimeout = Milliseconds(600);

/// How long a search goes on in the partitions that stand in for a turn's own.
constexpr auto s_alternatesTimeout = Milliseconds(1'500);

/// How long a host that has heard nothing of other partitions waits for that: until they have been sampled.
constexpr auto s_verdictTimeout = Milliseconds(600);

/// Of these, those that are read before the other hosts are asked: the writer has used the first one that answered.
constexpr auto s_likelyAlternates = std::size_t{3};

} // namespace

auto TurnJournal::readRow(std::string id, std::uint32_t partition) -> AsyncResult<TurnPtr>
{
    const auto address = turnRow(id, partition);
    auto request =
        store::ListRequest{.table = address.table, .partition = address.partition, .from = id, .to = store::keyAfter(id), .limit = 1};
    BOOST_OUTCOME_CO_TRY(const auto page, co_await m_store.list(std::move(request)));
    if (page.rows.empty()) {
        co_return TurnPtr();
    }
    const auto divided = decodeDividedHead(page.rows.front().value);
    auto turn = decodeTurn(page.rows.front().value);
    if (divided) {
        BOOST_OUTCOME_CO_TRY(turn, co_await readParts(std::move(id), partition, *divided));
    }
    if (!turn) {
        co_return store::StoreError::Malformed;
    }
    m_cache.put(turn);
    co_return turn;
}

auto TurnJournal::readParts(std::string id, std::uint32_t partition, DividedTurnHead head) -> AsyncResult<TurnPtr>
{
    auto request = partsOf(id, partition);
    auto parts = std::vector<store::Row>();
    for (auto hasMore = true; hasMore;) {
        BOOST_OUTCOME_CO_TRY(auto page, co_await m_store.list(request));
        hasMore = page.hasMore && !page.rows.empty();
        std::ranges::move(page.rows, std::back_inserter(parts));
        request.from = hasMore ? store::keyAfter(parts.back().address.key) : std::string();
    }
    co_return joinParts(head, parts);
}

auto TurnJournal::readFromAlternates(std::string id, std::uint32_t partition, std::size_t most) -> Async<AlternateSearch>
{
    struct Found
    {
        TurnPtr turn;
        bool hasFailed = false; ///< to read from some partition
    };
    const auto found = std::make_shared<Found>();
    const auto read = [this, id, found](std::uint32_t alternate) -> Async<bool> {
        const auto row = co_await readRow(id, alternate);
        found->hasFailed = found->hasFailed || !row;
        found->turn = row && row.value() ? row.value() : found->turn;
        co_return row&& row.value() != nullptr;
    };
    auto alternates = answeringAlternates(partition, m_storeStatus);
    alternates.resize(std::min(alternates.size(), most));
    const auto areAll = alternates.size() == alternatesOf(partition).size();
    const auto result = co_await attemptInTurn(m_executor, std::move(alternates), read, s_stagger, s_alternatesTimeout);
    co_return AlternateSearch{.turn = found->turn, .isComplete = areAll && result.haveAllEnded && !found->hasFailed};
}

auto TurnJournal::findLocal(std::string_view id) -> TurnPtr
{
    if (auto turn = m_cache.find(id)) {
        return turn;
    }
    if (const auto pending = m_pending.find(id); pending != m_pending.end()) {
        return pending->second;
    }
    const auto* replica = m_replicas.find(id);
    return replica == nullptr ? nullptr : decodeTurn(replica->record);
}

auto TurnJournal::find(std::string id, ProgramKey program) -> Async<TurnSearch>
{
    if (auto turn = findLocal(id)) {
        co_return TurnSearch{.turn = std::move(turn), .isCertain = true};
    }
    co_await queryHome(program.program, {id});
    if (auto turn = findLocal(id)) {
        co_return TurnSearch{.turn = std::move(turn), .isCertain = true};
    }
    const auto likelyPartition = programs::partitionOf(program);
    const auto read = co_await readWithTimeout(id, likelyPartition);
    if (read->turn) {
        co_return TurnSearch{.turn = read->turn, .isCertain = true};
    }
    if (isAwayAlone(likelyPartition)) {
        const auto likely = co_await readFromAlternates(id, likelyPartition, s_likelyAlternates);
        if (likely.turn) {
            co_return TurnSearch{.turn = likely.turn, .isCertain = true};
        }
    }
    auto others = co_await queryPeers(id);
    if (others.turn) {
        co_return TurnSearch{.turn = std::move(others.turn), .isCertain = true};
    }
    if (!read->hasEnded) {
        co_await read->ended.wait(s_searchTimeout);
    }
    if (read->turn || (!read->isAnswered && !co_await isFoundAwayAlone(likelyPartition))) {
        co_return TurnSearch{.turn = read->turn, .isCertain = false};
    }
    // A new program may continue a turn of another program, whose partition is not in the request.
    const auto elsewhere = co_await readFromAlternates(id, likelyPartition, s_partitionCount);
    if (elsewhere.turn && read->isAnswered && partitionOfTurn(*elsewhere.turn) == likelyPartition) {
        moveToOwnPartition(elsewhere.turn);
    }
    if (elsewhere.turn || !read->isAnswered || !elsewhere.isComplete) {
        co_return TurnSearch{.turn = elsewhere.turn, .isCertain = false};
    }
    const auto row = co_await readRow(id, likelyPartition); // It may have been written meanwhile.
    if (!row || row.value()) {
        co_return TurnSearch{.turn = row ? row.value() : nullptr, .isCertain = false};
    }
    co_return TurnSearch{.turn = nullptr, .isCertain = co_await isAbsent(id, std::move(others.answered))};
}

auto TurnJournal::isAbsent(const std::string& id, std::set<HostIncarnation> answered) -> Async<bool>
{
    answered.emplace(m_peers.ownAddress(), m_peers.ownIncarnation());
    auto registered = co_await m_hosts.read();
    auto evidence = AbsenceEvidence{.registered = std::nullopt,
                                    .sightings = m_peers.sightings(),
                                    .answered = std::move(answered),
                                    .now = m_clock.now(),
                                    .startedAt = m_startedAt,
                                    .wallMilliseconds = static_cast<std::uint64_t>(framework::unixMilliseconds(m_clock.wallTime())),
                                    .turnRetention = m_retention};
    if (registered) {
        evidence.registered = std::move(registered.value());
    }
    const auto verdict = judgeAbsence(evidence);
    framework::logEvent(framework::LogLevel::Info, "programs", "turn_not_found",
                        {{"turn", id},
                         {"doubt", framework::nameOf(s_absenceDoubtNames, verdict.doubt)},
                         {"host", verdict.host},
                         {"hostsAsked", evidence.answered.size()},
                         {"hostsRegistered", evidence.registered ? evidence.registered->size() : 0}});
    co_return verdict.doubt == AbsenceDoubt::None;
}

auto TurnJournal::readWithTimeout(std::string id, std::uint32_t partition) -> Async<RowReadPtr>
{
    const auto read = std::make_shared<RowRead>(m_executor);
    framework::spawnTask(m_executor, "read_with_timeout", [this, read, id = std::move(id), partition]() -> Async<void> {
        const auto row = co_await readRow(id, partition);
        read->hasEnded = true;
        read->isAnswered = static_cast<bool>(row);
        read->turn = row ? row.value() : nullptr;
        read->ended.notify();
    });
    // All other hosts are asked only if the store does not have the turn or does not answer: a late answer costs less than asking all.
    const auto askedAt = m_clock.now();
    while (!read->hasEnded && stateFor(partition) != store::StoreState::Away && m_clock.now() < askedAt + s_searchTimeout) {
        co_await read->ended.wait(s_storePollInterval);
    }
    co_return read;
}

auto TurnJournal::isFoundAwayAlone(std::uint32_t partition) -> Async<bool>
{
    auto timer = asio::steady_timer(m_executor);
    for (const auto until = m_clock.now() + s_verdictTimeout; !isAwayAlone(partition) && m_clock.now() < until;) {
        if (stateFor(partition) != store::StoreState::Away || m_outage.outageScope() == OutageScope::CutOff) {
            break;
        }
        timer.expires_after(s_storePollInterval);
        co_await timer.async_wait(asio::use_awaitable);
    }
    co_return isAwayAlone(partition);
}

auto TurnJournal::queryHome(std::string program, std::vector<std::string> ids) -> Async<void>
{
    const auto home = m_peers.home(program);
    if (home == m_peers.ownAddress()) {
        co_return;
    }
    auto request = peers::messages::Request();
    for (const auto& id : ids) {
        request.mutable_turn_query()->add_ids(id);
    }
    const auto response = co_await m_peers.call(home, std::move(request), s_homeTimeout);
    if (response) {
        cacheTurns(response.value());
    }
}

auto TurnJournal::cacheTurns(const peers::messages::Response& response) -> void
{
    for (const auto& record : response.turns()) {
        cacheTurn(record);
    }
}

auto TurnJournal::queryPeers(std::string id) -> Async<PeerSearch>
{
    auto request = peers::messages::Request();
    request.mutable_turn_query()->add_ids(id);
    const auto answers = co_await peers::callAll(m_peers, m_peers.reachableHosts(), std::move(request), s_queryTimeout,
                                                 [](const auto& response) { return response.turns_size() > 0; });
    auto search = PeerSearch();
    const auto sightings = m_peers.sightings();
    for (const auto& response : answers.responses) {
        cacheTurns(response);
        auto incarnation = response.incarnation();
        if (incarnation == 0) { // A host of an earlier release.
            const auto sighting = std::ranges::find(sightings, response.address(), &peers::HostSighting::address);
            incarnation = sighting == sightings.end() ? 0 : sighting->incarnation;
        }
        search.answered.emplace(response.address(), incarnation);
    }
    search.turn = findLocal(id);
    co_return search;
}

auto TurnJournal::findAncestor(Ancestor ancestor) -> Async<TurnPtr>
{
    const auto read = co_await readWithTimeout(ancestor.id, ancestor.partition);
    if (read->turn) {
        co_return read->turn;
    }
    if (isAwayAlone(ancestor.partition)) {
        const auto likely = co_await readFromAlternates(ancestor.id, ancestor.partition, s_likelyAlternates);
        if (likely.turn) {
            co_return likely.turn;
        }
    }
    const auto others = co_await queryPeers(ancestor.id);
    if (others.turn) {
        co_return others.turn;
    }
    if (!read->hasEnded) {
        co_await read->ended.wait(s_searchTimeout);
    }
    if (read->turn || (!read->isAnswered && !co_await isFoundAwayAlone(ancestor.partition))) {
        co_return read->turn;
    }
    const auto elsewhere = co_await readFromAlternates(ancestor.id, ancestor.partition, s_partitionCount);
    if (elsewhere.turn && read->isAnswered) {
        moveToOwnPartition(elsewhere.turn);
    }
    co_return elsewhere.turn;
}

auto TurnJournal::findAncestors(TurnPtr turn) -> Async<std::optional<std::vector<TurnPtr>>>
{
    struct Search
    {
        explicit Search(const asio::any_io_executor& executor)
            : done(executor)
        {}

        asio::steady_timer done;
        std::vector<TurnPtr> turns;
        std::size_t open = 0;
    };
    auto missing = std::vector<std::string>();
    for (const auto& ancestor : turn->ancestors) {
        if (!findLocal(ancestor.id)) {
            missing.push_back(ancestor.id);
        }
    }
    if (!missing.empty()) {
        co_await queryHome(turn->program, std::move(missing));
    }
    const auto search = std::make_shared<Search>(m_executor);
    search->turns.resize(turn->ancestors.size());
    for (auto index = std::size_t{0}; index < turn->ancestors.size(); ++index) {
        search->turns[index] = findLocal(turn->ancestors[index].id);
        if (search->turns[index]) {
            continue;
        }
        ++search->open;
        framework::spawnTask(m_executor, "find_ancestors", [this, search, index, ancestor = turn->ancestors[index]]() -> Async<void> {
            search->turns[index] = co_await findAncestor(ancestor);
            if (--search->open == 0) {
                search->done.cancel();
            }
        });
    }
    while (search->open > 0) {
        auto ignored = boost::system::error_code();
        search->done.expires_after(Milliseconds(1'000)); // Each search has its own time-outs.
        co_await search->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (std::ranges::any_of(search->turns, [](const TurnPtr& found) { return found == nullptr; })) {
        co_return std::nullopt;
    }
    co_return std::move(search->turns);
}

} // namespace laburnummill::programs
