#pragma once

#include <string_view>

namespace teaselward
{

/**
 * Checks whether a string is valid UTF-8, which JSON requires.
 * @param text the bytes
 * @return false if any byte is not part of a shortest-form code point
 */
bool isUtf8(std::string_view text);

} // namespace teaselward
