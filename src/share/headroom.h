#pragma once

#include <cstddef>

namespace teaselward
{

/**
 * Credits that an entry keeps for the kinds that come first. Their jobs are wide and short: with all slots busy, a job of eight
 * tasks waits for eight ends, which alone is longer than its slack.
 * @param slots slots of all usable endpoints
 * @param entries entries that share them
 * @return credits that the other kinds leave unused
 */
std::size_t headroom(std::size_t slots, std::size_t entries);

} // namespace teaselward
