#pragma once

#include "agent/held_start.h"
#include "base/clock.h"

namespace teaselward
{

/**
 * Checks which of two held starts gets the next free slot. Starts that can still meet the objective of their job go first, in
 * the order of their due times; those that have missed it are late anyway and must not delay others. Without this order, long
 * tasks fill all endpoints during a burst while short tasks, which have a tenth of their slack, wait behind them.
 * @param left a start that has a due time
 * @param right another start that has a due time
 * @param now current time
 * @return whether left goes before right
 */
bool isMoreUrgent(const held_start &left, const held_start &right, mono_time now);

} // namespace teaselward
