#include "peers/callall.h"
#include "programs/turnjournal.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include <algorithm>

// How a turn is found: here, at its program's home, in the store, at other hosts.

namespace laburnummill::programs {

namespace {

namespace asio = boost::asio;
using framework::Async;
using framework::AsyncResult;
using framework::Milliseconds;

/// The store answers a read in about 5 ms; beyond this other hosts are asked meanwhile.
constexpr auto s_storePatience = Milliseconds(40);
constexpr auto s_queryTimeout = Milliseconds(250);

/// A home answers from its memory, in the same data centre.
constexpr auto s_homeTimeout = Milliseconds(100);

/// A search for a turn that the store does not answer ends after this.
constexpr auto s_searchPatience = Milliseconds(600);

/// The least key above `key` in the order of bytes.
auto justAfter(const std::string& key) -> std::string
{
    return key + '!';
}

} // namespace

auto TurnJournal::readRow(std::string id, std::uint32_t partition) -> AsyncResult<TurnPtr>
{
    const auto address = turnRow(id, partition);
    auto request = store::ListRequest{.table = address.table, .partition = address.partition, .from = id, .to = justAfter(id), .limit = 1};
    BOOST_OUTCOME_CO_TRY(const auto page, co_await m_store.list(std::move(request)));
    if (page.rows.empty()) {
        co_return TurnPtr();
    }
    auto turn = decodeTurn(page.rows.front().value);
    if (!turn) {
        co_return store::StoreError::Malformed;
    }
    m_cache.put(turn);
    co_return turn;
}

auto TurnJournal::readAnywhere(std::string id, std::uint32_t likely) -> AsyncResult<TurnPtr>
{
    // A new program may go on from a turn of another one, whose partition its request does not tell.
    for (auto step = std::uint32_t{0}; step < s_partitions; ++step) {
        BOOST_OUTCOME_CO_TRY(auto turn, co_await readRow(id, (likely + step) % s_partitions));
        if (turn) {
            co_return turn;
        }
    }
    co_return TurnPtr();
}

auto TurnJournal::findHere(std::string_view id) -> TurnPtr
{
    if (auto turn = m_cache.find(id)) {
        return turn;
    }
    const auto held = m_heldForOthers.find(id);
    return held == m_heldForOthers.end() ? nullptr : decodeTurn(held->second.record);
}

auto TurnJournal::find(std::string id, ProgramKey program) -> Async<TurnSearch>
{
    if (auto turn = findHere(id)) {
        co_return TurnSearch{.turn = std::move(turn), .isCertain = true};
    }
    co_await askHome(program.program, {id});
    if (auto turn = findHere(id)) {
        co_return TurnSearch{.turn = std::move(turn), .isCertain = true};
    }
    const auto likely = programs::partitionOf(program);
    const auto read = co_await readPatiently(id, likely);
    if (read->turn) {
        co_return TurnSearch{.turn = read->turn, .isCertain = true};
    }
    const auto others = co_await askOthers(id);
    if (others.turn) {
        co_return others;
    }
    if (!read->hasEnded) {
        co_await read->ended.wait(s_searchPatience);
    }
    if (read->turn || !read->isAnswered) {
        co_return TurnSearch{.turn = read->turn, .isCertain = false};
    }
    const auto row = co_await readAnywhere(id, likely);
    const auto isInNoRow = row && !row.value();
    co_return TurnSearch{.turn = row ? row.value() : nullptr, .isCertain = isInNoRow && others.isCertain};
}

auto TurnJournal::readPatiently(std::string id, std::uint32_t partition) -> Async<RowReadPtr>
{
    const auto read = std::make_shared<RowRead>(m_executor);
    asio::co_spawn(
        m_executor,
        [this, read, id = std::move(id), partition]() -> Async<void> {
            const auto row = co_await readRow(id, partition);
            read->hasEnded = true;
            read->isAnswered = static_cast<bool>(row);
            read->turn = row ? row.value() : nullptr;
            read->ended.notify();
        },
        asio::detached);
    if (!m_isStoreSlow && !read->hasEnded) {
        co_await read->ended.wait(s_storePatience);
    }
    co_return read;
}

auto TurnJournal::askHome(std::string program, std::vector<std::string> ids) -> Async<void>
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
        takeTurns(response.value());
    }
}

auto TurnJournal::takeTurns(const peers::messages::Response& response) -> void
{
    for (const auto& record : response.turns()) {
        remember(record);
    }
}

auto TurnJournal::askOthers(std::string id) -> Async<TurnSearch>
{
    auto request = peers::messages::Request();
    request.mutable_turn_query()->add_ids(id);
    // A host that is heard only while the others answer was not asked.
    const auto mayBeUnknown = m_peers.mayHaveUnknownTurns();
    const auto addresses = m_peers.reachableHosts();
    const auto answers = co_await peers::callAll(m_peers, addresses, std::move(request), s_queryTimeout,
                                                 [](const auto& response) { return response.turns_size() > 0; });
    for (const auto& response : answers.responses) {
        takeTurns(response);
    }
    // A host that does not answer may hold turns that the store lacks.
    co_return TurnSearch{.turn = findHere(id), .isCertain = answers.failed == 0 && !mayBeUnknown};
}

auto TurnJournal::findAncestor(Ancestor ancestor) -> Async<TurnPtr>
{
    const auto read = co_await readPatiently(ancestor.id, ancestor.partition);
    if (read->turn) {
        co_return read->turn;
    }
    const auto others = co_await askOthers(ancestor.id);
    if (others.turn) {
        co_return others.turn;
    }
    if (!read->hasEnded) {
        co_await read->ended.wait(s_searchPatience);
    }
    co_return read->turn;
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
        if (!findHere(ancestor.id)) {
            missing.push_back(ancestor.id);
        }
    }
    if (!missing.empty()) {
        co_await askHome(turn->program, std::move(missing));
    }
    const auto search = std::make_shared<Search>(m_executor);
    search->turns.resize(turn->ancestors.size());
    for (auto index = std::size_t{0}; index < turn->ancestors.size(); ++index) {
        search->turns[index] = findHere(turn->ancestors[index].id);
        if (search->turns[index]) {
            continue;
        }
        ++search->open;
        asio::co_spawn(
            m_executor,
            [this, search, index, ancestor = turn->ancestors[index]]() -> Async<void> {
                search->turns[index] = co_await findAncestor(ancestor);
                if (--search->open == 0) {
                    search->done.cancel();
                }
            },
            asio::detached);
    }
    while (search->open > 0) {
        auto ignored = boost::system::error_code();
        search->done.expires_after(Milliseconds(1'000)); // Each search ends by its own timeouts.
        co_await search->done.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
    if (std::ranges::any_of(search->turns, [](const TurnPtr& found) { return found == nullptr; })) {
        co_return std::nullopt;
    }
    co_return std::move(search->turns);
}

} // namespace laburnummill::programs
