#include "config/section/peak_keys.h"

#include "config/section/section_key.h"
#include "config/section/section_limits.h"

#include <array>

namespace teaselward
{

namespace
{

constexpr std::chrono::minutes FullDay = std::chrono::hours(24);

key_result setFrom(std::string_view value, peak_section &section)
{
    const auto time = readTimeOfDay(value);
    if (!time || *time == FullDay) {
        return "must be a local time from 00:00 to 23:59";
    }
    section.from = time;
    return std::nullopt;
}

key_result setTo(std::string_view value, peak_section &section)
{
    const auto time = readTimeOfDay(value);
    if (!time || time->count() == 0) {
        return "must be a local time from 00:01 to 24:00";
    }
    section.to = time;
    return std::nullopt;
}

key_result setDays(std::string_view value, peak_section &section)
{
    const auto days = readDays(value);
    if (!days) {
        return "must be days of the week, for example mon-fri, sun";
    }
    section.days = days;
    return std::nullopt;
}

key_result setKinds(std::string_view value, peak_section &section)
{
    if (value == "*") {
        section.kinds = {"*"};
        return std::nullopt;
    }
    auto names = readNames(value);
    if (!names) {
        return "must be names of kinds separated by commas, or *";
    }
    section.kinds = std::move(names);
    return std::nullopt;
}

constexpr std::array Keys = {
    section_key<peak_section>{"zone", &setName<&peak_section::zone>},
    section_key<peak_section>{"from", &setFrom},
    section_key<peak_section>{"to", &setTo},
    section_key<peak_section>{"days", &setDays},
    section_key<peak_section>{"kinds", &setKinds},
    section_key<peak_section>{"weight", &setDecimal<&peak_section::weight, WeightRange>},
    section_key<peak_section>{"floor", &setDecimal<&peak_section::floor, FloorRange>},
};

} // namespace

key_result setPeakKey(std::string_view key, std::string_view value, peak_section &section)
{
    return setKey<peak_section>(Keys, key, value, section);
}

} // namespace teaselward
