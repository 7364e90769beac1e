#pragma once

#include <string_view>

namespace teaselward
{

/**
 * Tells whether a text can name a service, a kind, a team, a zone or a peak.
 * @param text the text
 * @return whether it has 1 to 64 letters, digits, '_', '-' and '.'
 */
bool isObjectName(std::string_view text);

/**
 * Tells whether a text can name a configuration file.
 * @param text the text
 * @return whether it has 1 to 128 letters, digits, '_', '-' and '.' and does not start with '.' or '-'
 */
bool isFileName(std::string_view text);

} // namespace teaselward
