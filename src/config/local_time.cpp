#include "config/local_time.h"

namespace teaselward
{

std::chrono::minutes offsetAt(const zone_section &zone, wall_time utc)
{
    std::chrono::minutes offset = zone.offset.value_or(std::chrono::minutes(0));
    for (const auto &[time, change] : zone.transitions) {
        if (time > utc) {
            break;
        }
        offset = change.value_or(offset);
    }
    return offset;
}

std::optional<wall_time> nextTransition(const zone_section &zone, wall_time utc)
{
    for (const auto &[time, change] : zone.transitions) {
        if (time > utc && change) {
            return time;
        }
    }
    return std::nullopt;
}

} // namespace teaselward
