#pragma once

#include "settings/setting_format.h"

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Checks an address.
 * @param text IP:PORT; the IP address is numeric, version 4, or version 6 in brackets
 */
bool isAddress(std::string_view text);

/**
 * Splits a list at its commas.
 * @param text words with optional space around them
 * @return the words that are not empty
 */
std::vector<std::string> parseList(std::string_view text);

/**
 * Reads a duration.
 * @param text number with unit, such as 500ms, 10s, 2m or 24h
 * @return the duration, or nothing
 */
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/**
 * Reads a whole number.
 * @param text decimal digits
 * @return the number, or nothing
 */
std::optional<std::uint32_t> parseNumber(std::string_view text);

/**
 * Reads a flag.
 * @param text yes or no
 * @return the flag, or nothing
 */
std::optional<bool> parseFlag(std::string_view text);

} // namespace teaselward
