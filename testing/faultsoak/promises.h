#pragma once

#include "framework/global/time.h"
#include "standins/callerask.h"
#include "stoprecord.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace laburnummill::testing {

/// A caller's attempt, as its caller means it.
struct Attempt
{
    std::string id;
    std::string account;
    std::string program;      ///< empty for plain calls
    std::string previousTurn; ///< empty at the start of a chain
    std::string input;
    std::uint64_t budget = 0; ///< tokens, of the whole program
    std::uint64_t most = 0;   ///< tokens that the turn may generate
    bool mayRepeat = false;   ///< idempotent
    std::string continues;    ///< the attempt whose broken stream this one continues
    int lastEvent = 0;        ///< of that stream, received whole
};

/// The rate that an account may use over all hosts.
struct AccountLimit
{
    double perSecond = 0;
    double burst = 0;
};

enum class Promise
{
    RunsOnce,      ///< what may not repeat runs once at most
    TrueRefusal,   ///< what was refused as not run did not run
    WholeAnswer,   ///< a success is the backend server's whole answer to this request
    History,       ///< a turn's prompt is the chain's inputs and outputs, byte for byte
    Budget,        ///< no program is handed more than its budget and one turn
    KnownTurn,     ///< a turn that was answered is not denied
    Rate,          ///< no account runs more than its limit in any window
    OwnAccount,    ///< a request runs as its key's account, and the key stays here
    NothingUnsent, ///< nothing runs that no caller sent
    Recovers,      ///< with all faults over, requests are served again
    DrainedServer, ///< a server that drains gets nothing once hosts know
    StopsClean,    ///< a host that is asked to stop ends in time, by itself
    KeepsRunning,  ///< a host that nobody ends or asks to stop goes on, with its memory under its limit
    GracefulStop,  ///< a host that stops cuts off nothing that a backend server began
};

struct Violation
{
    Promise promise;
    std::string detail;
};

/// What callers sent and got and what backend servers ran, checked as it comes in.
class Promises
{
public:
    /// `gracePeriod`: time that hosts have to stop.
    explicit Promises(std::map<std::string, AccountLimit> limits, framework::Milliseconds gracePeriod = std::chrono::seconds(4));

    auto sent(const Attempt& attempt) -> void;

    /// The last byte of an attempt's request was sent to a host.
    auto reached(const std::string& id, int host, framework::Instant now) -> void;

    /// A backend server began to work on a request.
    auto ran(const std::string& id, const std::string& account, const std::string& body, bool showsKey, framework::Instant now,
             int engine = 0) -> void;

    /// A caller's attempt ended.
    auto ended(const std::string& id, const Got& got, framework::Instant now) -> void;

    /// Stops of hosts, and faults beside them.
    auto stops() -> StopRecord& { return m_stops; }
    auto stops() const -> const StopRecord& { return m_stops; }

    /// Something else that was promised was not kept.
    auto broken(Promise promise, std::string detail) -> void;

    /// The data of a turn's events, and the body of a plain answer, that belong to a request.
    auto eventsOf(const std::string& id) const -> std::vector<std::string>;
    static auto bodyOf(const std::string& id) -> std::string;

    auto violations() const -> const std::vector<Violation>& { return m_violations; }
    auto answered() const -> std::uint64_t { return m_answered; }
    auto attempts() const -> std::uint64_t { return m_attempts.size(); }
    auto statuses() const -> const std::map<unsigned, std::uint64_t>& { return m_statuses; }

    /// Tokens of one event, as the services' configuration states it.
    static constexpr auto s_tokensPerEvent = std::uint64_t{10};

private:
    struct Known
    {
        Attempt attempt;
        int runs = 0;
        bool isRefused = false;               ///< its caller was told that it did not run
        framework::Instant answeredWholeAt{}; ///< of a turn
        std::optional<int> host;              ///< that its request reached
        framework::Instant reachedAt{};
        std::set<int> engines; ///< that began it
    };

    struct Run
    {
        framework::Instant at{};
        std::string id;
    };

    auto historyOf(const std::string& turn) const -> std::string;
    auto checkRate(const std::string& account, framework::Instant now) -> void;
    auto checkBudget(const Attempt& attempt, const std::string& body) -> void;
    auto checkAnswer(const Known& known, const Got& got) -> void;
    auto checkStop(const Known& known, const Got& got, framework::Instant now) -> void;

    std::map<std::string, AccountLimit> m_limits;
    StopRecord m_stops;
    std::map<std::string, Known> m_attempts;
    std::map<std::string, std::uint64_t> m_handedOut; ///< tokens by program
    std::map<std::string, std::deque<Run>> m_runs;    ///< of the last window, by account
    std::map<unsigned, std::uint64_t> m_statuses;
    std::set<std::string> m_overRate;
    std::vector<Violation> m_violations;
    std::uint64_t m_answered = 0;
};

auto nameOf(Promise promise) -> std::string_view;

} // namespace laburnummill::testing
