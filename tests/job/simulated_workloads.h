#pragma once

#include "job/simulated_kind.h"

#include <vector>

namespace teaselward
{

/** @return workload of the users: short jobs of many tasks, long jobs, and frequent small jobs; it uses 245 of the 411 cores of 11 endpoints */
std::vector<simulated_kind> baselineKinds();

/** @return the same workload after growth, for 13 entries and 70 endpoints, some of which are lost */
std::vector<simulated_kind> scaledKinds();

} // namespace teaselward
