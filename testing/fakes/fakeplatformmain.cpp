#include "testing/fakes/fakemain.h"
#include "testing/fakes/fakeplatform.h"

auto main(int argc, char** argv) -> int
{
    auto fake = laburnummill::testing::FakePlatform();
    return laburnummill::testing::runFake(argc, argv, fake);
}
