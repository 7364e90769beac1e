#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Parses a decimal number.
 * @param text digits with an optional fraction; no exponent, no sign
 * @return the number, or nothing
 */
std::optional<double> readDecimal(std::string_view text);

/**
 * Parses an unsigned integer.
 * @param text digits only
 * @return the number, or nothing
 */
std::optional<std::uint64_t> readInteger(std::string_view text);

/**
 * Parses a flag.
 * @param text "yes" or "no"
 * @return the value, or nothing
 */
std::optional<bool> readFlag(std::string_view text);

/**
 * Parses a duration.
 * @param text integer with the unit "ms", "s" or "m"
 * @return the duration, or nothing
 */
std::optional<std::chrono::milliseconds> readDuration(std::string_view text);

/**
 * Parses a local time of day.
 * @param text "HH:MM" from 00:00 to 24:00
 * @return time since local midnight, or nothing
 */
std::optional<std::chrono::minutes> readTimeOfDay(std::string_view text);

/**
 * Parses an offset from UTC.
 * @param text "+HH:MM" or "-HH:MM", at most 18 hours
 * @return the offset, positive east of Greenwich, or nothing
 */
std::optional<std::chrono::minutes> readUtcOffset(std::string_view text);

/**
 * Parses a time in UTC.
 * @param text "YYYY-MM-DDTHH:MM:SSZ" or "YYYY-MM-DDTHH:MMZ"
 * @return the time, or nothing
 */
std::optional<std::chrono::sys_seconds> readUtcTime(std::string_view text);

/**
 * Parses days of the week.
 * @param text three-letter English names in lower case and ranges of them, for example "mon-fri, sun"
 * @return set of bits, bit n for day n of the week with Sunday as 0, or nothing
 */
std::optional<std::uint8_t> readDays(std::string_view text);

/**
 * Parses a list of names.
 * @param text names separated by commas
 * @return the names, or nothing if the list is empty or a name is invalid
 */
std::optional<std::vector<std::string>> readNames(std::string_view text);

} // namespace teaselward
