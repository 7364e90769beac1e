#pragma once

#include "sim/sim_setup.h"
#include "sim/sim_stats.h"

namespace teaselward
{

/**
 * Simulates one FIFO queue in front of all slots, without message latency between entry and endpoint. Its response times are the lower
 * bound for the placement strategies.
 * @param setup load and cluster size; must outlive the result
 * @return statistics of the run
 */
sim_stats runCentralQueue(const sim_setup &setup);

} // namespace teaselward
