// A third of the store's partitions is away for 6.7 s. Turns are answered whole meanwhile; the operator changes the config, the store
// acknowledges it, and all processes are killed. TROUBLE=0: the same without the outage.
#include "../standins-3/world.h"

#include <algorithm>

using namespace review;

namespace {

constexpr auto s_outage = 6.7;
constexpr auto s_downMs = 720;
constexpr auto s_recovery = 12.0;
constexpr auto s_programs = 48;

/// About 36 in 100 of the partitions, and never the operator's.
bool isAffected(const std::string& part)
{
    auto hash = 2166136261U;
    for (const auto character : part) {
        hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
    }
    return !part.empty() && hash / 64 % 100 < 36;
}

struct Program
{
    std::string firstTurn;
    bool isWhole = false;   ///< its first turn was answered whole
    bool hasReached = false; ///< a turn that goes on from it has reached an engine
    int tries = 0;
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        return 2;
    }
    auto record = Record(argv[3]);
    auto mutex = std::mutex();
    auto reached = std::set<std::string>();
    auto store = Store();
    const auto ran = [&](const std::string& engine, const Message& request) {
        const std::lock_guard lock(mutex);
        reached.insert(request.header("Request-Id"));
        record.line("run      " + engine + " id " + request.header("Request-Id") + " after " + request.header("Previous-Turn"));
    };
    auto engines = std::vector<std::unique_ptr<Engine>>();
    for (const auto* zone : {"a", "b", "c"}) {
        engines.push_back(std::make_unique<Engine>(std::string("llm-") + zone, "llm", zone, ran));
        store.put("servers", engines.back()->id(), engines.back()->entry(1));
    }
    store.put("op", "config", configuration(1));
    auto fleet = Fleet(argv[1], argv[2], store, {"a", "b", "c"});
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        fleet.start(host);
    }
    if (!fleet.awaitReady()) {
        record.line("the machines did not become ready");
        return 2;
    }
    auto turns = std::atomic<int>(0);
    const auto sendTurn = [&](std::size_t host, int program, const std::string& previous) -> std::pair<std::string, bool> {
        const auto id = "turn" + std::to_string(++turns);
        auto text = "POST /turns/x HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: " + id +
                    "\r\nModel: m\r\nToken-Usage: 100,50\r\nPrompt-Prefix: ab:50,p" + std::to_string(program) +
                    ":50\r\nDeadline-Ms: 4000\r\nX-Api-Key: key-brewer\r\nProgram-Id: program" + std::to_string(program) + "\r\nSession-Id: line" +
                    std::to_string(program) + "\r\nProgram-Deadline-Ms: 30000\r\nToken-Budget: 2000\r\n";
        text += previous.empty() ? "" : "Previous-Turn: " + previous + "\r\n";
        record.line("sent     to front-" + std::to_string(host + 1) + " id " + id + " program " + std::to_string(program) + " after " + previous);
        const auto channel = Channel::connect(fleet.ip(host), fleet.frontPort());
        auto answer = std::optional<Message>();
        if (channel && channel->write(text + "Content-Length: 5\r\n\r\nhello")) {
            answer = readMessage(*channel, 4500, true);
        }
        const auto isWhole = answer && answer->isWhole && answer->status() == 200;
        record.line("answered " + id + ": " + (answer ? answer->first + (answer->isWhole ? " whole " : " cut ") : std::string("nothing")) +
                    (answer && answer->status() != 200 ? answer->body : ""));
        return {id, isWhole};
    };
    sleepMs(4000); // The machines know each other.
    auto isAway = std::atomic<bool>(false);
    store.serves = [&isAway](const std::string&, const std::string& part) { return !isAway || !isAffected(part); };
    const auto outageFrom = record.seconds();
    isAway = hasTrouble();
    record.line(hasTrouble() ? "a part of the store's partitions is away (503)" : "no disruption");
    sleepMs(1500);
    auto programs = std::vector<Program>(s_programs);
    auto callers = std::vector<std::thread>();
    for (auto number = 0; number < s_programs; ++number) {
        callers.emplace_back([&, number] {
            std::tie(programs[number].firstTurn, programs[number].isWhole) = sendTurn(number % fleet.size(), number, {});
        });
        sleepMs(70);
    }
    sleepMs(static_cast<int>((outageFrom + 5.5 - record.seconds()) * 1000));
    store.put("op", "config", configuration(2));
    record.line("the store has acknowledged config 2; all processes are killed");
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        fleet.send(host, SIGKILL);
    }
    std::ranges::for_each(callers, [](auto& caller) { caller.join(); });
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        fleet.kill(host);
        fleet.writeSettings(host, store.address(), false);
    }
    sleepMs(s_downMs);
    for (std::size_t host = 0; host < fleet.size(); ++host) {
        fleet.start(host);
    }
    const auto backAt = record.seconds();
    record.line("the machines are back");
    auto others = 0;
    auto othersServed = 0;
    for (auto round = 0; record.seconds() < backAt + s_recovery; ++round) {
        if (isAway && record.seconds() >= outageFrom + s_outage) {
            isAway = false;
            record.line("the store is whole again");
        }
        for (auto number = 0; number < s_programs && record.seconds() < backAt + s_recovery; ++number) {
            auto& program = programs[number];
            if (!program.isWhole || program.hasReached) {
                continue;
            }
            ++program.tries;
            const auto [id, isWhole] = sendTurn((number + round) % fleet.size(), number, program.firstTurn);
            const std::lock_guard lock(mutex);
            program.hasReached = reached.contains(id);
        }
        const auto [id, isWhole] = sendTurn(round % fleet.size(), s_programs + round, {});
        if (record.seconds() > backAt + s_recovery - 4) {
            ++others;
            othersServed += isWhole ? 1 : 0;
        }
        sleepMs(300);
    }
    auto whole = 0;
    auto lost = 0;
    for (const auto& program : programs) {
        whole += program.isWhole ? 1 : 0;
        if (program.isWhole && !program.hasReached) {
            ++lost;
            record.line("BROKEN   LOST: " + program.firstTurn + " was answered whole; turns that go on from it reached no engine in " +
                        std::to_string(program.tries) + " tries by recovery_s");
        }
    }
    record.line(std::to_string(whole) + " first turns answered whole, " + std::to_string(lost) + " of them lost; " +
                std::to_string(othersServed) + " of " + std::to_string(others) + " other turns served in the last 4 s");
    if (whole < s_programs / 2 || others == 0 || othersServed * 5 < others * 4) {
        record.line("the case could not run");
        return 2;
    }
    record.line(lost > 0 ? "the rule was broken" : "the rule held");
    return lost > 0 ? 1 : 0;
}
