#pragma once

#include <chrono>
#include <string>
#include <vector>

namespace teaselward
{

/** One job of a load run. */
struct load_job {
    std::chrono::microseconds arrival{}; ///< Time since the start of the run.
    std::chrono::milliseconds longest{}; ///< Run time of the longest task; zero if run times are unknown.
    std::vector<std::string> payloads; ///< One for each task: its run time in milliseconds as a decimal number.
};

} // namespace teaselward
