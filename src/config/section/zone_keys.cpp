#include "config/section/zone_keys.h"

namespace teaselward
{

namespace
{

constexpr std::string_view OffsetReason = "must be an offset from UTC from -18:00 to +18:00, for example +01:00";

} // namespace

// Each transition is a separate key, so that files with different transitions can be merged. The value "none" removes a transition.
key_result setZoneKey(std::string_view key, std::string_view value, zone_section &section)
{
    const auto offset = readUtcOffset(value);
    if (key == "offset") {
        if (!offset) {
            return std::string(OffsetReason);
        }
        section.offset = offset;
        return std::nullopt;
    }
    const auto time = readUtcTime(key);
    if (!time) {
        return "unknown key; a transition is written as 2027-03-28T01:00:00Z = +02:00";
    }
    if (!offset && value != "none") {
        return std::string(OffsetReason) + ", or none";
    }
    section.transitions[*time] = offset;
    return std::nullopt;
}

} // namespace teaselward
