#pragma once

#include <string_view>

namespace teaselward
{

/**
 * Checks whether a text is a valid name of a service, a kind, a team, a zone or a peak.
 * @param text the text
 * @return whether it consists of 1 to 64 letters, digits, '_', '-' and '.'
 */
bool isObjectName(std::string_view text);

/**
 * Checks whether a text is a valid name of a configuration file.
 * @param text the text
 * @return whether it consists of 1 to 128 letters, digits, '_', '-' and '.' and does not start with '.' or '-'
 */
bool isFileName(std::string_view text);

} // namespace teaselward
