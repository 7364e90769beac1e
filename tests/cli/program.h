#pragma once

#include <string>

namespace teaselward
{

/** Outcome of a run of the binary. */
struct program_result {
    int status = -1; ///< Exit status.
    std::string output; ///< Standard output and standard error.
};

/** Runs the binary with arguments in shell syntax and waits for its end. */
program_result runProgram(const std::string &arguments);

} // namespace teaselward
