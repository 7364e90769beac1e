#pragma once

#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Removes white space at both ends. Debian's Abseil has a string_view of its own, so its functions do not take this one.
 * @param text the text
 * @return the part between the first and the last visible character
 */
std::string_view trimmed(std::string_view text);

/**
 * Splits a text at every separator.
 * @param text the text
 * @param separator the separator
 * @return the parts; at least one, and possibly empty ones
 */
std::vector<std::string_view> split(std::string_view text, char separator);

/**
 * Tells whether a text is printable ASCII.
 * @param text the text
 * @return whether every byte is from ' ' to '~'
 */
bool isPrintable(std::string_view text);

/**
 * Tells whether a text is UTF-8, as JSON needs it, without control characters, which JSON would make six times as long.
 * @param text the text
 * @return whether every sequence is complete, shortest and no surrogate, and only tabs and line ends are below ' '
 */
bool isPlainText(std::string_view text);

} // namespace teaselward
