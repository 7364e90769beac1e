#pragma once

#include <random>

namespace teaselward
{

/** Random number generator of entry_core; seeded, so that runs are reproducible. */
using job_random = std::minstd_rand;

} // namespace teaselward
