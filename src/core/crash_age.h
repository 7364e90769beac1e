#pragma once

#include <chrono>

namespace teaselward
{

/**
 * Compares the ages that two runs of a task had when their endpoints crashed. A task that crashes its endpoint does so at the same
 * point of each run, while a run that is lost with its endpoint by chance can have any age.
 * @param first age of one run
 * @param second age of the other run
 * @return whether the ages differ by at most 20 ms, the delay of the detection, or a quarter of the longer one
 */
bool isSameCrashAge(std::chrono::milliseconds first, std::chrono::milliseconds second);

} // namespace teaselward
