#pragma once

#include "base/clock.h"
#include "config/section/zone_section.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/**
 * Returns the UTC offset of a zone. Local time is always computed from UTC, so that a skipped hour does not occur and a repeated
 * hour occurs twice.
 * @param zone the zone
 * @param utc the time
 * @return offset from UTC, positive east of Greenwich
 */
std::chrono::minutes offsetAt(const zone_section &zone, wall_time utc);

/**
 * Finds the next transition of a zone.
 * @param zone the zone
 * @param utc the current time
 * @return the first transition after it, or nothing
 */
std::optional<wall_time> nextTransition(const zone_section &zone, wall_time utc);

} // namespace teaselward
