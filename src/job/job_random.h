#pragma once

#include <random>

namespace teaselward
{

/** Random numbers of the decisions of an entry; seeded, so that runs repeat. */
using job_random = std::minstd_rand;

} // namespace teaselward
