#pragma once

#include "chain/chain_faults.h"
#include "chain/seed_range.h"
#include "chain/site_size.h"

namespace teaselward
{

/**
 * Plays seeds of a chain_simulation whose callers never submit a job again, so that only the home of a job starts its tasks again, and
 * checks that no task has two runs at the same time. Two environment variables serve longer runs by hand: CHAIN_SEEDS gives the last
 * seed of plays that begin with seed 1, and CHAIN_TRACE the only seed to play, whose log lines go to the standard output.
 * @param faults faults to inject
 * @param seeds seeds to play
 * @param site size of the site; the callers submit more jobs at a larger one
 */
void playWithSteadyCallers(const chain_faults &faults, seed_range seeds, const site_size &site = {});

} // namespace teaselward
