#pragma once

#include "config/section/decimal_range.h"
#include "config/section/value_reader.h"

#include <absl/strings/str_cat.h>

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace teaselward
{

/** Result of setting a key: nothing on success, or an error message. */
using key_result = std::optional<std::string>;

/** Function that parses the value of one key and stores it in a section. */
template<typename Section>
using key_setter = key_result (*)(std::string_view value, Section &section);

/** Sets a decimal number within a range. */
template<auto Member, const decimal_range &Range, typename Section>
key_result setDecimal(std::string_view value, Section &section)
{
    const auto number = readDecimal(value);
    if (!number || *number < Range.min || *number > Range.max) {
        return "must be a number from " + absl::StrCat(Range.min) + " to " + absl::StrCat(Range.max);
    }
    section.*Member = *number;
    return std::nullopt;
}

/** Sets an integer within a range. */
template<auto Member, std::uint32_t Min, std::uint32_t Max, typename Section>
key_result setInteger(std::string_view value, Section &section)
{
    const auto number = readInteger(value);
    if (!number || *number < Min || *number > Max) {
        return "must be a whole number from " + std::to_string(Min) + " to " + std::to_string(Max);
    }
    section.*Member = static_cast<std::uint32_t>(*number);
    return std::nullopt;
}

/** Sets a duration within a range in milliseconds. */
template<auto Member, std::int64_t Min, std::int64_t Max, typename Section>
key_result setDuration(std::string_view value, Section &section)
{
    const auto duration = readDuration(value);
    if (!duration || duration->count() < Min || duration->count() > Max) {
        return "must be a duration from " + std::to_string(Min) + "ms to " + std::to_string(Max) + "ms with the unit ms, s or m";
    }
    section.*Member = *duration;
    return std::nullopt;
}

/** Sets a flag. */
template<auto Member, typename Section>
key_result setFlag(std::string_view value, Section &section)
{
    const auto flag = readFlag(value);
    if (!flag) {
        return "must be yes or no";
    }
    section.*Member = *flag;
    return std::nullopt;
}

/** Sets the name of another section. */
template<auto Member, typename Section>
key_result setName(std::string_view value, Section &section)
{
    const auto names = readNames(value);
    if (!names || names->size() != 1) {
        return "must be a name of 1 to 64 letters, digits, '_', '-' and '.'";
    }
    section.*Member = names->front();
    return std::nullopt;
}

} // namespace teaselward
