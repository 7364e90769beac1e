#include "config/section/value_reader.h"

#include "config/config_name.h"
#include "config/text.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>

namespace teaselward
{

namespace
{

using namespace std::chrono;

constexpr minutes FullDay = hours(24);
constexpr minutes OffsetLimit = hours(18); // The largest offset that any civil time has had is 15 h 13 min.
constexpr std::array<std::string_view, 7> DayNames = {"sun", "mon", "tue", "wed", "thu", "fri", "sat"};

struct duration_unit {
    std::string_view suffix;
    milliseconds length;
};

// "ms" precedes "s", which is its suffix.
constexpr std::array DurationUnits = {
    duration_unit{"ms", milliseconds(1)},
    duration_unit{"s", seconds(1)},
    duration_unit{"m", minutes(1)},
};

// Parses exactly the given number of digits at a position.
std::optional<int> digitsAt(std::string_view text, std::size_t position, std::size_t count)
{
    if (text.size() < position + count) {
        return std::nullopt;
    }
    const auto value = readInteger(text.substr(position, count));
    return value ? std::optional<int>(static_cast<int>(*value)) : std::nullopt;
}

// Parses "HH:MM" from 00:00 to 24:00.
std::optional<minutes> readHoursMinutes(std::string_view text)
{
    const auto hour = digitsAt(text, 0, 2);
    const auto minute = digitsAt(text, 3, 2);
    if (text.size() != 5 || text[2] != ':' || !hour || !minute || *minute > 59) {
        return std::nullopt;
    }
    const minutes result = hours(*hour) + minutes(*minute);
    return result <= FullDay ? std::optional<minutes>(result) : std::nullopt;
}

std::optional<std::size_t> dayIndex(std::string_view name)
{
    const auto found = std::find(DayNames.begin(), DayNames.end(), name);
    return found == DayNames.end() ? std::nullopt : std::optional<std::size_t>(found - DayNames.begin());
}

// Parses one day or a range that may extend over the end of the week, such as "sat-mon".
std::optional<std::uint8_t> readDayRange(std::string_view text)
{
    const auto ends = split(text, '-');
    const auto first = dayIndex(trimmed(ends.front()));
    const auto last = dayIndex(trimmed(ends.back()));
    if (ends.size() > 2 || !first || !last) {
        return std::nullopt;
    }
    unsigned bits = 1U << *first;
    for (std::size_t day = *first; day != *last;) {
        day = (day + 1) % DayNames.size();
        bits |= 1U << day;
    }
    return static_cast<std::uint8_t>(bits);
}

} // namespace

std::optional<double> readDecimal(std::string_view text)
{
    double value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value, std::chars_format::fixed);
    const bool isNumber = !text.empty() && text.front() >= '0' && text.front() <= '9';
    return isNumber && result.ec == std::errc() && result.ptr == text.data() + text.size() ? std::optional<double>(value) : std::nullopt;
}

std::optional<std::uint64_t> readInteger(std::string_view text)
{
    std::uint64_t value = 0;
    const auto result = std::from_chars(text.data(), text.data() + text.size(), value);
    return result.ec == std::errc() && result.ptr == text.data() + text.size() ? std::optional<std::uint64_t>(value) : std::nullopt;
}

std::optional<bool> readFlag(std::string_view text)
{
    if (text == "yes") {
        return true;
    }
    return text == "no" ? std::optional<bool>(false) : std::nullopt;
}

std::optional<milliseconds> readDuration(std::string_view text)
{
    constexpr std::uint64_t countLimit = 1'000'000'000;
    for (const duration_unit &unit : DurationUnits) {
        if (text.ends_with(unit.suffix)) {
            const auto count = readInteger(text.substr(0, text.size() - unit.suffix.size()));
            return count && *count <= countLimit ? std::optional<milliseconds>(static_cast<std::int64_t>(*count) * unit.length) : std::nullopt;
        }
    }
    return std::nullopt;
}

std::optional<minutes> readTimeOfDay(std::string_view text)
{
    return readHoursMinutes(text);
}

std::optional<minutes> readUtcOffset(std::string_view text)
{
    if (text.empty() || (text.front() != '+' && text.front() != '-')) {
        return std::nullopt;
    }
    const auto size = readHoursMinutes(text.substr(1));
    if (!size || *size > OffsetLimit) {
        return std::nullopt;
    }
    return text.front() == '-' ? -*size : *size;
}

std::optional<sys_seconds> readUtcTime(std::string_view text)
{
    const auto y = digitsAt(text, 0, 4);
    const auto m = digitsAt(text, 5, 2);
    const auto d = digitsAt(text, 8, 2);
    const bool hasSeconds = text.size() == 20;
    if (!y || !m || !d || (text.size() != 17 && !hasSeconds) || text[4] != '-' || text[7] != '-' || text[10] != 'T' || text.back() != 'Z') {
        return std::nullopt;
    }
    const year_month_day date = year(*y) / month(static_cast<unsigned>(*m)) / day(static_cast<unsigned>(*d));
    const auto time = readHoursMinutes(text.substr(11, 5));
    const auto second = hasSeconds ? digitsAt(text, 17, 2) : std::optional<int>(0);
    if (!date.ok() || !time || *time == FullDay || !second || *second > 59 || (hasSeconds && text[16] != ':')) {
        return std::nullopt;
    }
    return sys_days(date) + *time + seconds(*second);
}

std::optional<std::uint8_t> readDays(std::string_view text)
{
    std::uint8_t bits = 0;
    for (const std::string_view part : split(text, ',')) {
        const auto range = readDayRange(part);
        if (!range) {
            return std::nullopt;
        }
        bits |= *range;
    }
    return bits;
}

std::optional<std::vector<std::string>> readNames(std::string_view text)
{
    std::vector<std::string> names;
    for (const std::string_view part : split(text, ',')) {
        const std::string_view name = trimmed(part);
        if (!isObjectName(name)) {
            return std::nullopt;
        }
        names.emplace_back(name);
    }
    return names;
}

} // namespace teaselward
