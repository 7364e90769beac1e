#pragma once

#include "sim/sim_setup.h"
#include "sim/sim_stats.h"

namespace teaselward
{

/**
 * Lower bound: one queue in the order of arrival in front of all slots, without any message between entry and endpoint.
 * @param setup the load and the sizes; it must outlive the result
 * @return response times of the jobs and tasks
 */
sim_stats runCentralQueue(const sim_setup &setup);

} // namespace teaselward
