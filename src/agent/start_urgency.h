#pragma once

#include "agent/held_start.h"
#include "base/clock.h"

namespace teaselward
{

/**
 * Tells which of two held starts is to get the next free slot. Those that can still meet the objective of their job come first,
 * the earliest due time first; a job that has missed it is late in any case and delays no other. Answers the bursts in which
 * long tasks fill all endpoints while short ones, with a tenth of their patience, wait behind them.
 * @param left a start with a due time
 * @param right another one
 * @param now present time
 */
bool isMoreUrgent(const held_start &left, const held_start &right, mono_time now);

} // namespace teaselward
