#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace teaselward
{

/** Settings of a load run. */
struct load_settings {
    std::vector<std::string> entries; ///< Addresses as IP:PORT; the jobs go to them in turn.
    std::string team;
    std::string kind;
    double rate = 10; ///< Jobs per second.
    std::chrono::seconds duration{10}; ///< Duration of the arrivals.
    std::uint32_t tasksMin = 1; ///< Minimum number of tasks per job.
    std::uint32_t tasksMax = 1; ///< Maximum number of tasks per job.
    std::chrono::milliseconds runTimeMin{}; ///< Shortest run time of a task.
    std::chrono::milliseconds runTimeMedian{}; ///< Median of the log-normal run times; zero if run times are unknown.
    std::chrono::milliseconds runTimeMax{}; ///< Longest run time of a task.
    double runTimeSigma = 0; ///< Standard deviation of the logarithm of the run times.
    std::chrono::milliseconds timeLimit = std::chrono::seconds(10); ///< Time limit of each job.
    std::uint32_t openLimit = 2000; ///< Maximum number of jobs in progress; further arrivals are skipped and counted.
    std::uint32_t seed = 1;
};

} // namespace teaselward
