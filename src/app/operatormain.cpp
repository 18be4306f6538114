#include "foundation/seededrandom.h"
#include "foundation/systemclock.h"
#include "operators/commandline.h"

#include <iostream>
#include <thread>
#include <vector>

using namespace clementinesill;

int main(int argc, char** argv)
{
    const SystemClock clock;
    auto random = SeededRandom::fromEntropy();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    return operators::runCommandLine(arguments,
        {
            .out = std::cout,
            .err = std::cerr,
            .clock = clock,
            .random = random,
            .sleep = [](Duration duration) { std::this_thread::sleep_for(duration); },
            .shouldStop = [] { return false; },
        });
}
