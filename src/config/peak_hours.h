#pragma once

#include "base/clock.h"
#include "config/config_model.h"

#include <optional>

namespace teaselward
{

/**
 * Tells whether a peak is in force. A peak that names a zone without a section is never in force; one without a zone
 * counts in UTC. If "to" is not after "from", the peak ends on the next day and "days" names the days on which it begins.
 * @param peak the peak
 * @param model the merged sections, for the zone
 * @param utc the present instant
 * @return whether the local time lies within its hours
 */
bool isActive(const peak_section &peak, const config_model &model, wall_time utc);

/**
 * Finds the next instant at which isActive() may change.
 * @param peak the peak
 * @param model the merged sections, for the zone
 * @param utc the present instant
 * @return an instant after it, or nothing if the peak is never in force
 */
std::optional<wall_time> nextBoundary(const peak_section &peak, const config_model &model, wall_time utc);

} // namespace teaselward
