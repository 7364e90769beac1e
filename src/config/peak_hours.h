#pragma once

#include "base/clock.h"
#include "config/config_model.h"

#include <optional>

namespace teaselward
{

/**
 * Returns whether a peak is active. A peak whose zone is undefined is never active; a peak without a zone uses UTC. If "to" is
 * not after "from", the peak ends on the next day, and "days" lists the days on which it begins.
 * @param peak the peak
 * @param model the merged sections, for the zone
 * @param utc the current time
 * @return whether the local time lies within the hours of the peak
 */
bool isActive(const peak_section &peak, const config_model &model, wall_time utc);

/**
 * Finds the next time at which the result of isActive() may change.
 * @param peak the peak
 * @param model the merged sections, for the zone
 * @param utc the current time
 * @return a later time, or nothing if the peak is never active
 */
std::optional<wall_time> nextBoundary(const peak_section &peak, const config_model &model, wall_time utc);

} // namespace teaselward
