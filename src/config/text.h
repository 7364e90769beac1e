#pragma once

#include <string_view>
#include <vector>

namespace teaselward
{

/**
 * Removes white space at both ends. Debian's Abseil has its own string view type, so absl::StripAsciiWhitespace does not accept
 * std::string_view.
 * @param text the text
 * @return the text without leading and trailing white space
 */
std::string_view trimmed(std::string_view text);

/**
 * Splits a text at every separator.
 * @param text the text
 * @param separator the separator
 * @return the parts; at least one; parts may be empty
 */
std::vector<std::string_view> split(std::string_view text, char separator);

/**
 * Checks whether a text is printable ASCII.
 * @param text the text
 * @return whether all bytes are from ' ' to '~'
 */
bool isPrintable(std::string_view text);

/**
 * Checks whether a text is UTF-8, as JSON requires, without control characters, which take six times as many bytes in JSON.
 * @param text the text
 * @return whether all sequences are complete, not overlong and not surrogates, and tabs and line ends are the only control characters
 */
bool isPlainText(std::string_view text);

} // namespace teaselward
