#include "scheduling/internal/dispatcher.h"
#include "scheduling/internal/fairsharepolicy.h"

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <fstream>
#include <iostream>
#include <random>

namespace {

using namespace laburnummill::scheduling;
using laburnummill::framework::Instant;
using laburnummill::framework::Microseconds;
using laburnummill::framework::Milliseconds;
using laburnummill::framework::Seconds;

constexpr auto s_engines = 1'100;
constexpr auto s_programs = std::uint64_t{60'000};
constexpr auto s_accounts = std::uint64_t{200};
constexpr auto s_decisions = std::uint64_t{100'000};
constexpr auto s_bytesPerPage = std::uint64_t{4'096};
constexpr auto s_reportEvery = std::uint64_t{20'000};

auto residentBytes() -> std::uint64_t
{
    auto pages = std::uint64_t{0};
    auto resident = std::uint64_t{0};
    std::ifstream("/proc/self/statm") >> pages >> resident;
    return resident * s_bytesPerPage;
}

/// A dispatcher of the largest size, always with all programs waiting.
class Bench
{
public:
    Bench()
        : m_dispatcher(std::make_unique<AdmissionRules>(settings()), std::make_unique<FairSharePolicy>(FairShareWeights()))
    {
        m_dispatcher.begin(m_now);
        auto specs = std::vector<EngineSpec>();
        for (auto engine = 0; engine < s_engines; ++engine) {
            specs.push_back({"engine-" + std::to_string(engine), 8, 1, false});
        }
        m_dispatcher.configure(specs, m_now);
        m_dispatcher.finishRecovery(m_now);
        for (auto second = 0; second < 6; ++second) {
            m_now += Seconds(1);
            report();
        }
    }

    auto fill() -> void
    {
        for (auto program = std::uint64_t{0}; program < s_programs; ++program) {
            submit(program);
        }
    }

    /// Ends calls and submits the programs' next ones until `amount` permits were given.
    auto decide(std::uint64_t amount) -> void
    {
        const auto until = m_granted + amount;
        while (m_granted < until) {
            const auto permit = m_open.front();
            m_open.pop_front();
            m_now += Microseconds(40);
            m_dispatcher.release(permit.call.key, {PermitEnd::Finished, permit.call.promptTokens, 0, 200}, m_now);
            submit(std::stoull(permit.call.program));
            if (m_granted % s_reportEvery == 0) {
                report();
            }
        }
    }

    auto consistent() -> bool { return m_dispatcher.checkConsistency() && m_dispatcher.counts().grantsBeyondBound == 0; }

private:
    static auto settings() -> DispatcherSettings
    {
        auto settings = DispatcherSettings();
        settings.queuePerSlot = 1'000;
        return settings;
    }

    auto report() -> void
    {
        for (auto engine = 0; engine < s_engines; ++engine) {
            m_dispatcher.handleReport("engine-" + std::to_string(engine), {"life-1", 0, 0, false, {}}, m_now);
        }
    }

    auto submit(std::uint64_t program) -> void
    {
        auto call = ScheduledCall();
        call.key = {1, ++m_number};
        call.account = "account-" + std::to_string(program % s_accounts);
        call.program = std::to_string(program);
        call.promptTokens = std::uniform_int_distribution<std::uint64_t>(500, 20'000)(m_random);
        call.deadline = m_now + Seconds(36'000);
        m_dispatcher.submit(call, m_now);
        for (auto& action : m_dispatcher.takeActions()) {
            if (auto* granted = std::get_if<Granted>(&action)) {
                m_open.push_back(std::move(granted->permit));
                ++m_granted;
            }
        }
    }

    Dispatcher m_dispatcher;
    Instant m_now{Seconds(1'000)};
    std::mt19937_64 m_random{1};
    std::deque<OpenPermit> m_open;
    std::uint64_t m_number = 0;
    std::uint64_t m_granted = 0;
};

} // namespace

auto main() -> int
{
    auto bench = Bench();
    const auto before = residentBytes();
    bench.fill();
    const auto bytes = residentBytes() - before;
    const auto began = std::chrono::steady_clock::now();
    bench.decide(s_decisions);
    const auto took = std::chrono::duration<double>(std::chrono::steady_clock::now() - began).count();
    auto document = nlohmann::json::object();
    document["decisions_per_second"] = static_cast<double>(s_decisions) / took;
    document["bytes_per_program"] = static_cast<double>(bytes) / static_cast<double>(s_programs);
    document["engines"] = s_engines;
    document["programs"] = s_programs;
    std::cout << document.dump() << '\n';
    return bench.consistent() ? 0 : 1;
}
