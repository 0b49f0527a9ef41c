#include "testing/measure/policy/workload.h"

#include <algorithm>
#include <array>
#include <random>

namespace laburnummill::testing {

using framework::Microseconds;
using framework::Milliseconds;
using framework::Seconds;

namespace {

/// Shares of the client accounts: a few large.
constexpr auto s_shares = std::array{0.30, 0.24, 0.16, 0.10, 0.08, 0.05, 0.04, 0.03};
constexpr auto s_overloader = std::size_t{1};
constexpr auto s_overloadFactor = 4.0;
constexpr auto s_overloadBegins = 0.25; ///< of the run
constexpr auto s_overloadEnds = 0.45;
constexpr auto s_rateOverMean = 1.5; ///< an account's rate is so much above what it sends on average
constexpr auto s_burstSeconds = 20.0;
constexpr auto s_maxTurns = 40;
constexpr auto s_subAgentTurns = 2;
constexpr auto s_subAgents = 2;
constexpr auto s_kiloToken = 1'000.0;

using Random = std::mt19937_64;

auto uniform(Random& random, std::uint64_t least, std::uint64_t most) -> std::uint64_t
{
    return std::uniform_int_distribution<std::uint64_t>(least, most)(random);
}

auto pause(Random& random, const Shape& shape) -> Milliseconds
{
    return Milliseconds(static_cast<std::int64_t>(std::exponential_distribution<double>(1 / shape.pauseMeanMs)(random)));
}

auto makeTurn(Random& random, const Shape& shape, bool first) -> Turn
{
    auto turn = Turn();
    turn.newTokens = first ? uniform(random, shape.firstLeast, shape.firstMost) : uniform(random, shape.newLeast, shape.newMost);
    turn.completionTokens = uniform(random, shape.completionLeast, shape.completionMost);
    turn.pause = pause(random, shape);
    return turn;
}

auto makeSubAgent(Random& random, const Shape& shape) -> std::vector<Turn>
{
    auto turns = std::vector<Turn>();
    for (auto index = 0; index < s_subAgentTurns; ++index) {
        turns.push_back(makeTurn(random, shape, false));
    }
    return turns;
}

auto makeTurns(Random& random, const Shape& shape) -> std::vector<Turn>
{
    const auto drawn = std::geometric_distribution<int>(1 / shape.meanTurns)(random) + 1;
    const auto count = std::min(drawn, s_maxTurns);
    auto turns = std::vector<Turn>();
    for (auto index = 0; index < count; ++index) {
        turns.push_back(makeTurn(random, shape, index == 0));
        if (std::bernoulli_distribution(shape.subAgentsShare)(random)) {
            for (auto agent = 0; agent < s_subAgents; ++agent) {
                turns.back().subAgents.push_back(makeSubAgent(random, shape));
            }
        }
    }
    turns.back().pause = Milliseconds(0);
    return turns;
}

/// A client account's rate and burst, in programs.
class Bucket
{
public:
    Bucket(double rate, double burst)
        : m_rate(rate)
        , m_burst(burst)
        , m_tokens(burst)
    {}

    auto take(double now) -> bool
    {
        m_tokens = std::min(m_burst, m_tokens + m_rate * (now - m_at));
        m_at = now;
        if (m_tokens < 1) {
            return false;
        }
        m_tokens -= 1;
        return true;
    }

private:
    double m_rate;
    double m_burst;
    double m_tokens;
    double m_at = 0;
};

auto addAccount(const Shape& shape, double load, std::size_t account, Random& random, std::vector<ProgramPlan>& plans) -> void
{
    const auto length = static_cast<double>(shape.length.count());
    const auto mean = shape.programsPerSecond * load * s_shares[account];
    auto bucket = Bucket(mean * s_rateOverMean, std::max(2.0, mean * s_rateOverMean * s_burstSeconds));
    const auto name = "account-" + std::to_string(account + 1);
    for (auto now = 0.0, number = 0.0; now < length; ++number) {
        const auto overloads = account == s_overloader && now > s_overloadBegins * length && now < s_overloadEnds * length;
        now += std::exponential_distribution<double>(overloads ? s_overloadFactor * mean : mean)(random);
        auto turns = makeTurns(random, shape);
        if (now < length && bucket.take(now)) {
            const auto arrival = Microseconds(static_cast<std::int64_t>(now * 1e6));
            plans.push_back({name + "/" + std::to_string(static_cast<int>(number)), name, arrival, std::move(turns)});
        }
    }
}

auto callLatencyMs(std::uint64_t prompt, const Turn& turn, const EngineModelSettings& engine) -> double
{
    const auto step = engine.stepMs + engine.stepMsPerKiloToken * static_cast<double>(prompt) / s_kiloToken;
    return engine.prefillMsPerToken * static_cast<double>(turn.newTokens) + step * static_cast<double>(turn.completionTokens);
}

} // namespace

auto shapeOf(const std::string& preset) -> Shape
{
    auto shape = Shape();
    shape.preset = preset;
    shape.programsPerSecond = 1.82;
    if (preset == "piedmont") {
        shape.engines = 9;
        shape.programsPerSecond = 0.6;
        shape.firstLeast = 3'000;
        shape.firstMost = 12'000;
        shape.newLeast = 300;
        shape.newMost = 1'500;
        shape.completionLeast = 100;
        shape.completionMost = 400;
        shape.meanTurns = 8;
        shape.pauseMeanMs = 2'500;
    }
    return shape;
}

auto makeWorkload(const Shape& shape, double load, std::uint64_t seed) -> std::vector<ProgramPlan>
{
    auto plans = std::vector<ProgramPlan>();
    for (auto account = std::size_t{0}; account < s_shares.size(); ++account) {
        auto random = Random(seed * s_shares.size() + account);
        addAccount(shape, load, account, random, plans);
    }
    std::ranges::stable_sort(plans, {}, &ProgramPlan::arrival);
    return plans;
}

auto idleLatency(const std::vector<Turn>& turns, const EngineModelSettings& engine) -> Milliseconds
{
    auto total = 0.0;
    auto prompt = std::uint64_t{0};
    for (const auto& turn : turns) {
        prompt += turn.newTokens;
        total += callLatencyMs(prompt, turn, engine);
        prompt += turn.completionTokens;
        auto pause = static_cast<double>(turn.pause.count());
        for (const auto& agent : turn.subAgents) {
            pause = std::max(pause, static_cast<double>(idleLatency(agent, engine).count()));
        }
        total += pause;
    }
    return Milliseconds(static_cast<std::int64_t>(total));
}

} // namespace laburnummill::testing
