#include "testing/measure/history/historyload.h"
#include "testing/support/runoptions.h"

#include <iostream>

using laburnummill::testing::HistoryLoad;

auto main(int argc, char** argv) -> int
{
    const auto options = laburnummill::testing::readRunOptions(argc, argv);
    auto today = HistoryLoad::Options();
    today.seed = options.seed;
    auto fewWriters = today;
    fewWriters.turnsPerSecond = 1'500;
    fewWriters.programsEach = 400;
    fewWriters.seconds = 20;
    auto everyHost = fewWriters;
    everyHost.owners = 380;
    everyHost.programsEach = 40;
    everyHost.seconds = 20;
    auto figures = HistoryLoad(today).run();
    figures["at_1500_turns_12_owners"] = HistoryLoad(fewWriters).run();
    figures["at_1500_turns_380_owners"] = HistoryLoad(everyHost).run();
    std::cout << figures.dump() << '\n';
    return 0;
}
