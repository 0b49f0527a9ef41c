#include "testing/fakes/fakeengine.h"
#include "testing/fakes/fakemain.h"

#include <cstdlib>

auto main(int argc, char** argv) -> int
{
    constexpr auto defaultIntervalMs = 2;
    const auto interval = argc > 2 ? std::atoi(argv[2]) : defaultIntervalMs;
    auto fake = laburnummill::testing::FakeEngine(laburnummill::framework::Milliseconds(interval));
    return laburnummill::testing::runFake(argc, argv, fake);
}
