#pragma once

#include "core/start_order.h"

#include <chrono>

namespace teaselward
{

/**
 * Returns the run time to expect of a task at an endpoint: the expectation of its entry or, without one, the time that the caller declared.
 * @param order the start
 * @param factor run time factor of the endpoint; zero if unknown
 * @return the time; zero if unknown
 */
inline std::chrono::microseconds expectedRun(const start_order &order, double factor)
{
    const std::chrono::microseconds usual = order.expectedRun.count() > 0 ? order.expectedRun : order.estimate;
    return factor > 0 ? std::chrono::duration_cast<std::chrono::microseconds>(factor * usual) : usual;
}

} // namespace teaselward
