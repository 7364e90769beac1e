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
 * Checks whether a text is an address IP:PORT. The IP address is IPv4, or IPv6 in brackets; host names are not allowed.
 * @param text the text
 */
bool isAddress(std::string_view text);

/**
 * Parses a list.
 * @param text words separated by commas, with optional white space around them
 * @return the words, without empty ones
 */
std::vector<std::string> parseList(std::string_view text);

/**
 * Parses a duration.
 * @param text number with unit, such as 500ms, 10s, 2m or 24h
 * @return the duration, or nothing
 */
std::optional<std::chrono::milliseconds> parseDuration(std::string_view text);

/**
 * Parses an unsigned integer.
 * @param text decimal digits
 * @return the number, or nothing
 */
std::optional<std::uint32_t> parseNumber(std::string_view text);

/**
 * Parses a flag.
 * @param text yes or no
 * @return the flag, or nothing
 */
std::optional<bool> parseFlag(std::string_view text);

} // namespace teaselward
