#include "config/section/zone_keys.h"

namespace teaselward
{

namespace
{

constexpr std::string_view OffsetReason = "must be an offset from UTC from -18:00 to +18:00, for example +01:00";

} // namespace

// A transition is a key of its own, so that files that announce different transitions are merged. "none" withdraws one.
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
