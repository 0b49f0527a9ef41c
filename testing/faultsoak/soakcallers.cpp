#include "soakcallers.h"

#include "framework/global/systemclock.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <fmt/format.h>

#include <algorithm>

namespace laburnummill::testing {

namespace {

using framework::Milliseconds;

constexpr auto s_mostTurns = 6;
constexpr auto s_tokensOfATurn = std::uint64_t{20};
constexpr auto s_tries = 3;

/// Above the route's timeout: who waits longer was forgotten.
constexpr auto s_callerPatience = Milliseconds(3'500);

constexpr auto s_connectPatience = Milliseconds(500);
constexpr auto s_retryPause = Milliseconds(150);

/// Programs whose next turn is asked for at the end, and how often; hosts spread what comes back over half a second.
constexpr auto s_checkedPrograms = std::size_t{60};
constexpr auto s_recoveryTries = 8;

/// The sites' bound for a change to be in force.
constexpr auto s_changeInForce = Milliseconds(3'000);
constexpr auto s_callsAtDrain = 40;

/// One request in so many goes on from an earlier turn than the last.
constexpr auto s_branchOneIn = 6;

auto keyOf(const std::string& account) -> std::string
{
    return account + "-key";
}

/// The last of `count` programs, and `earlier` ones spread over those before.
auto programsToCheck(std::size_t count, std::size_t earlier) -> std::vector<std::size_t>
{
    const auto first = count - std::min(count, s_checkedPrograms);
    auto chosen = std::vector<std::size_t>();
    for (auto number = std::size_t{0}; number < std::min(earlier, first); ++number) {
        chosen.push_back(number * first / earlier);
    }
    for (auto index = first; index < count; ++index) {
        chosen.push_back(index);
    }
    return chosen;
}

auto wholeEvents(const std::string& body) -> int
{
    auto events = 0;
    for (auto end = body.find("\n\n"); end != std::string::npos; end = body.find("\n\n", end + 2)) {
        ++events;
    }
    return events;
}

} // namespace

SoakCallers::SoakCallers(asio::io_context& context, SoakFleet& fleet, Promises& promises, std::uint64_t seed)
    : m_context(context)
    , m_fleet(fleet)
    , m_promises(promises)
    , m_balancer(context, fleet)
    , m_random(seed)
{}

auto SoakCallers::start(int programs) -> void
{
    m_balancer.start();
    for (auto number = 0; number < programs; ++number) {
        ++m_running;
        asio::co_spawn(m_context, runPrograms(m_random(), number % m_fleet.dataCentres()), asio::detached);
    }
}

auto SoakCallers::runPrograms(std::uint64_t seed, int dataCentre) -> asio::awaitable<void>
{
    auto random = std::mt19937_64(seed);
    auto connection = Connection(m_context, dataCentre);
    while (!m_isStopped) {
        co_await runProgram(connection, random);
    }
    --m_running;
}

auto SoakCallers::runProgram(Connection& connection, std::mt19937_64& random) -> asio::awaitable<void>
{
    auto program = Program{.name = nextId("program"),
                           .account = random() % 4 == 0 ? "small" : "large",
                           .budget = 40 + random() % 300,
                           .sendsHistory = random() % 3 == 0,
                           .history = {},
                           .turns = {}};
    const auto turns = 1 + static_cast<int>(random() % s_mostTurns);
    for (auto turn = 0; turn < turns && !m_isStopped; ++turn) {
        auto previous = program.turns.empty() ? std::string() : program.turns.back();
        if (program.turns.size() > 1 && random() % s_branchOneIn == 0) {
            previous = program.turns[random() % program.turns.size()];
        }
        if (co_await takeTurn(connection, program, previous, s_tries) != TurnEnd::Whole) {
            break;
        }
        co_await rest(Milliseconds(20 + static_cast<int>(random() % 100)));
        if (random() % 2 == 0) {
            (void)co_await callOnce(connection, program.account, random() % 2 == 0);
        }
    }
    if (!program.turns.empty()) {
        m_ended.push_back(std::move(program));
    }
}

auto SoakCallers::takeDraft(Connection& connection, Program& program, int tries) -> asio::awaitable<TurnEnd>
{
    const auto input = fmt::format("input {} ", ++m_number);
    auto first = std::string(); // The attempt whose stream the later ones continue.
    auto received = 0;
    for (auto attemptNumber = 0; attemptNumber < tries; ++attemptNumber) {
        const auto attempt = Attempt{.id = nextId("draft"),
                                     .account = program.account,
                                     .program = program.name,
                                     .previousTurn = {},
                                     .input = program.history + input,
                                     .budget = program.budget,
                                     .most = s_tokensOfATurn,
                                     .mayRepeat = true,
                                     .continues = received > 0 ? first : std::string(),
                                     .lastEvent = received};
        auto ask = Ask{.target = "/drafts/one", .id = attempt.id, .key = keyOf(program.account), .body = attempt.input, .headers = {}};
        ask.headers = {{"Program-Id", program.name},
                       {"Session-Id", program.name},
                       {"Token-Budget", std::to_string(program.budget)},
                       {"Token-Usage", fmt::format("100,{}", attempt.most)}};
        if (received > 0) {
            ask.headers.emplace_back("Last-Event-Id", std::to_string(received));
        }
        first = received > 0 ? first : attempt.id;
        const auto got = co_await send(connection, attempt, ask);
        if (got.status == 200 && got.isWhole) {
            program.history += input;
            for (const auto& data : m_promises.eventsOf(attempt.id)) {
                program.history += data + '\n';
            }
            program.turns.push_back(attempt.id);
            co_return TurnEnd::Whole;
        }
        if (got.status == 402) {
            co_return TurnEnd::Spent;
        }
        if (got.status == 200) {
            received += wholeEvents(got.body);
        }
        co_await rest(s_retryPause * (attemptNumber + 1));
    }
    co_return TurnEnd::Failed;
}

auto SoakCallers::takeTurn(Connection& connection, Program& program, const std::string& previous, int tries) -> asio::awaitable<TurnEnd>
{
    if (program.sendsHistory) {
        co_return co_await takeDraft(connection, program, tries);
    }
    for (auto attemptNumber = 0; attemptNumber < tries; ++attemptNumber) {
        const auto attempt = Attempt{.id = nextId("turn"),
                                     .account = program.account,
                                     .program = program.name,
                                     .previousTurn = previous,
                                     .input = fmt::format("input {} ", m_number),
                                     .budget = program.budget,
                                     .most = s_tokensOfATurn};
        auto ask = Ask{.target = "/turns/one", .id = attempt.id, .key = keyOf(program.account), .body = attempt.input, .headers = {}};
        ask.headers = {{"Program-Id", program.name},
                       {"Token-Budget", std::to_string(program.budget)},
                       {"Token-Usage", fmt::format("100,{}", attempt.most)}};
        if (!previous.empty()) {
            ask.headers.emplace_back("Previous-Turn", previous);
        }
        const auto got = co_await send(connection, attempt, ask);
        if (got.status == 200 && got.isWhole) {
            program.turns.push_back(attempt.id);
            co_return TurnEnd::Whole;
        }
        if (got.status == 402) {
            co_return TurnEnd::Spent;
        }
        co_await rest(s_retryPause * (attemptNumber + 1));
    }
    co_return TurnEnd::Failed;
}

auto SoakCallers::callOnce(Connection& connection, const std::string& account, bool mayRepeat) -> asio::awaitable<Got>
{
    const auto attempt = Attempt{.id = nextId("call"), .account = account, .input = "order", .mayRepeat = mayRepeat};
    auto ask =
        Ask{.target = mayRepeat ? "/look/x" : "/pay/x", .id = attempt.id, .key = keyOf(account), .body = attempt.input, .headers = {}};
    co_return co_await send(connection, attempt, ask);
}

auto SoakCallers::send(Connection& connection, const Attempt& attempt, const Ask& ask) -> asio::awaitable<Got>
{
    m_promises.sent(attempt);
    const auto got = co_await exchange(connection, attempt.id, requestText(ask));
    m_promises.ended(attempt.id, got, framework::SystemClock().now());
    co_return got;
}

auto SoakCallers::exchange(Connection& connection, const std::string& id, const std::string& text) -> asio::awaitable<Got>
{
    auto& socket = connection.socket;
    auto error = boost::system::error_code();
    auto timer = asio::steady_timer(m_context);
    const auto closeAfter = [&socket, &timer](Milliseconds patience) {
        timer.expires_after(patience);
        timer.async_wait([&socket](const boost::system::error_code& ended) {
            if (!ended) {
                auto ignored = boost::system::error_code();
                socket.close(ignored);
            }
        });
    };
    if (!socket.is_open()) {
        connection.host = m_balancer.hostFor(connection.dataCentre, m_random());
        closeAfter(s_connectPatience);
        co_await socket.async_connect(m_fleet.callerEndpoint(connection.host), asio::redirect_error(asio::use_awaitable, error));
    }
    auto got = Got();
    if (!error) {
        closeAfter(s_callerPatience);
        co_await asio::async_write(socket, asio::buffer(text), asio::redirect_error(asio::use_awaitable, error));
    }
    auto parser = http::response_parser<http::string_body>();
    if (!error) {
        m_promises.reached(id, connection.host, framework::SystemClock().now());
        auto buffer = boost::beast::flat_buffer();
        co_await http::async_read(socket, buffer, parser, asio::redirect_error(asio::use_awaitable, error));
    }
    timer.cancel();
    if (parser.is_header_done()) {
        got.status = parser.get().result_int();
        got.body = parser.get().body();
        got.retryAfter = std::string(parser.get()["Retry-After"]);
        got.isWhole = !error && parser.is_done();
    }
    // Whom a host turned away asks another one; all others keep their connection until it ends.
    if (error || !parser.keep_alive() || got.status == 503) {
        auto ignored = boost::system::error_code();
        socket.close(ignored);
    }
    co_return got;
}

auto SoakCallers::checkRecovery(std::size_t earlierPrograms) -> asio::awaitable<void>
{
    auto connection = Connection(m_context, 0);
    for (auto host = 0; host < m_fleet.hosts(); ++host) {
        if (!co_await m_fleet.isReady(host)) {
            m_promises.broken(Promise::Recovers, fmt::format("host-{} is not ready", host));
        }
    }
    for (const auto index : programsToCheck(m_ended.size(), earlierPrograms)) {
        auto& program = m_ended[index];
        connection.dataCentre = static_cast<int>(index) % m_fleet.dataCentres();
        const auto end = co_await takeTurn(connection, program, program.turns.back(), s_recoveryTries);
        if (end == TurnEnd::Failed) {
            m_promises.broken(Promise::Recovers, fmt::format("{} does not go on from {}", program.name, program.turns.back()));
        }
    }
}

auto SoakCallers::checkDrainedServer() -> asio::awaitable<void>
{
    m_fleet.putEngine(0, "draining");
    co_await rest(s_changeInForce);
    const auto before = m_fleet.engine(0).requests().size();
    for (auto number = 0; number < s_callsAtDrain; ++number) {
        auto connection = Connection(m_context, number % m_fleet.dataCentres());
        (void)co_await callOnce(connection, "large", true);
    }
    if (m_fleet.engine(0).requests().size() != before) {
        m_promises.broken(Promise::DrainedServer, fmt::format("{} requests", m_fleet.engine(0).requests().size() - before));
    }
}

auto SoakCallers::checkWithdrawnKey() -> asio::awaitable<void>
{
    m_fleet.putConfiguration(false);
    co_await rest(s_changeInForce);
    for (auto host = 0; host < m_fleet.hosts(); ++host) {
        auto connection = Connection(m_context, m_fleet.dataCentreOf(host));
        auto error = boost::system::error_code();
        co_await connection.socket.async_connect(m_fleet.callerEndpoint(host), asio::redirect_error(asio::use_awaitable, error));
        const auto attempt = Attempt{.id = nextId("call"), .account = "small", .input = "order", .mayRepeat = true};
        const auto got = co_await send(connection, attempt,
                                       {.target = "/look/x", .id = attempt.id, .key = "second-key", .body = "order", .headers = {}});
        if (got.status != 401) {
            m_promises.broken(Promise::OwnAccount, fmt::format("host-{} answers {} to a withdrawn key", host, got.status));
        }
    }
}

auto SoakCallers::rest(Milliseconds time) -> asio::awaitable<void>
{
    auto timer = asio::steady_timer(m_context, time);
    co_await timer.async_wait(asio::use_awaitable);
}

auto SoakCallers::nextId(const char* kind) -> std::string
{
    return fmt::format("{}-{}", kind, ++m_number);
}

} // namespace laburnummill::testing
