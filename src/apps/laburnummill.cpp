#include "operatorcli/commandline.h"

#include <iostream>

auto main(int argc, char** argv) -> int
{
    return laburnummill::operatorcli::runCommandLine({argv + 1, argv + argc}, std::cin, std::cout, std::cerr);
}
