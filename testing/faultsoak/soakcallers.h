#pragma once

#include "balancer.h"
#include "promises.h"
#include "soakfleet.h"

#include <random>

namespace laburnummill::testing {

/// Callers' programs and calls, each on a connection that it keeps until that ends; a load balancer chooses the host of a new one.
class SoakCallers
{
public:
    SoakCallers(asio::io_context& context, SoakFleet& fleet, Promises& promises, std::uint64_t seed);

    /// Starts `programs` callers that run one program after another until stop().
    auto start(int programs) -> void;
    auto stop() -> void { m_isStopped = true; }
    auto running() const -> int { return m_running; }

    /// With all faults over: each program that ended lately, and `earlierPrograms` of those before, go on by a turn, and each host is
    /// ready.
    auto checkRecovery(std::size_t earlierPrograms = 0) -> asio::awaitable<void>;

    /// A server drains for long enough that all hosts know: none may send it anything.
    auto checkDrainedServer() -> asio::awaitable<void>;

    /// The second key of the small account is withdrawn: no host that runs may take it.
    auto checkWithdrawnKey() -> asio::awaitable<void>;

private:
    struct Connection
    {
        Connection(asio::io_context& context, int callerDataCentre)
            : socket(context)
            , dataCentre(callerDataCentre)
        {}

        asio::ip::tcp::socket socket;
        int dataCentre; ///< of its caller
        int host = -1;
    };

    struct Program
    {
        std::string name;
        std::string account;
        std::uint64_t budget = 0;
        bool sendsHistory = false;      ///< its caller keeps the history and sends it with each turn
        std::string history;            ///< kept by its caller
        std::vector<std::string> turns; ///< answered whole
    };

    enum class TurnEnd
    {
        Whole,
        Spent,
        Failed,
    };

    auto runPrograms(std::uint64_t seed, int dataCentre) -> asio::awaitable<void>;
    auto runProgram(Connection& connection, std::mt19937_64& random) -> asio::awaitable<void>;
    auto takeTurn(Connection& connection, Program& program, const std::string& previous, int tries) -> asio::awaitable<TurnEnd>;
    /// A turn whose request carries the history; goes on where a broken stream ended.
    auto takeDraft(Connection& connection, Program& program, int tries) -> asio::awaitable<TurnEnd>;
    auto callOnce(Connection& connection, const std::string& account, bool mayRepeat) -> asio::awaitable<Got>;
    auto send(Connection& connection, const Attempt& attempt, const Ask& ask) -> asio::awaitable<Got>;
    auto exchange(Connection& connection, const std::string& id, const std::string& text) -> asio::awaitable<Got>;
    auto rest(framework::Milliseconds time) -> asio::awaitable<void>;
    auto nextId(const char* kind) -> std::string;

    asio::io_context& m_context;
    SoakFleet& m_fleet;
    Promises& m_promises;
    Balancer m_balancer;
    std::mt19937_64 m_random;
    std::vector<Program> m_ended;
    std::uint64_t m_number = 0;
    int m_running = 0;
    bool m_isStopped = false;
};

} // namespace laburnummill::testing
