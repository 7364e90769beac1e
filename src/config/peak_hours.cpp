#include "config/peak_hours.h"

#include "config/local_time.h"

#include <algorithm>
#include <chrono>

namespace teaselward
{

namespace
{

using namespace std::chrono;

constexpr minutes FullDay = hours(24);
constexpr std::uint8_t EveryDay = 0x7f;

// Returns the zone of a peak, or null if the zone is undefined.
const zone_section *findZone(const peak_section &peak, const config_model &model)
{
    static const zone_section utcZone;
    if (!peak.zone) {
        return &utcZone;
    }
    const auto found = model.zones.find(*peak.zone);
    return found == model.zones.end() ? nullptr : &found->second;
}

// Returns the next time after the current one at which a clock with this UTC offset shows the time of day.
wall_time nextTimeOfDay(minutes timeOfDay, minutes offset, wall_time utc)
{
    const wall_time local = utc + offset;
    wall_time candidate = floor<days>(local) + timeOfDay;
    if (candidate <= local) {
        candidate += FullDay;
    }
    return candidate - offset;
}

} // namespace

bool isActive(const peak_section &peak, const config_model &model, wall_time utc)
{
    const zone_section *zone = findZone(peak, model);
    if (zone == nullptr) {
        return false;
    }
    const wall_time local = utc + offsetAt(*zone, utc);
    const auto midnight = floor<days>(local);
    const auto time = local - midnight;
    const minutes from = peak.from.value_or(minutes(0));
    const minutes to = peak.to.value_or(FullDay);
    const auto beginsOn = [&peak](sys_days day) {
        return ((peak.days.value_or(EveryDay) >> weekday(day).c_encoding()) & 1U) != 0;
    };
    if (from < to) {
        return time >= from && time < to && beginsOn(midnight);
    }
    return (time >= from && beginsOn(midnight)) || (time < to && beginsOn(midnight - days(1)));
}

// The boundary is computed with the current UTC offset and is wrong if it lies after the next transition; the transition is
// returned then.
std::optional<wall_time> nextBoundary(const peak_section &peak, const config_model &model, wall_time utc)
{
    const zone_section *zone = findZone(peak, model);
    if (zone == nullptr) {
        return std::nullopt;
    }
    const minutes offset = offsetAt(*zone, utc);
    const wall_time from = nextTimeOfDay(peak.from.value_or(minutes(0)), offset, utc);
    const wall_time to = nextTimeOfDay(peak.to.value_or(FullDay) % FullDay, offset, utc);
    const wall_time boundary = std::min(from, to);
    return std::min(boundary, nextTransition(*zone, utc).value_or(boundary));
}

} // namespace teaselward
