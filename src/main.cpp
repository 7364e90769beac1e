#include "cli/run.h"

int main(int argc, char **argv)
{
    return teaselward::runCommandLine(argc, argv);
}
