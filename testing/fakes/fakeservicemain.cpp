#include "testing/fakes/fakemain.h"
#include "testing/fakes/fakeservice.h"

auto main(int argc, char** argv) -> int
{
    auto fake = laburnummill::testing::FakeService();
    return laburnummill::testing::runFake(argc, argv, fake);
}
