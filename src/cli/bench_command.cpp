#include "cli/bench_command.h"

#include <iostream>

namespace teaselward
{

int runBench(int /*argc*/, char ** /*argv*/)
{
    std::cout << "Bench: 0\n";
    return 0;
}

} // namespace teaselward
