#pragma once

#include "base/clock.h"
#include "config/section/zone_section.h"

#include <chrono>
#include <optional>

namespace teaselward
{

/**
 * Finds the offset of a local time. Local time is always computed from UTC, so that a skipped hour never comes and a repeated
 * hour comes twice.
 * @param zone the zone
 * @param utc the instant
 * @return offset from UTC, positive east of Greenwich
 */
std::chrono::minutes offsetAt(const zone_section &zone, wall_time utc);

/**
 * Finds the next transition of a zone.
 * @param zone the zone
 * @param utc the present instant
 * @return first transition after it, or nothing
 */
std::optional<wall_time> nextTransition(const zone_section &zone, wall_time utc);

} // namespace teaselward
