#pragma once

#include <string>

namespace teaselward
{

/**
 * Formats a factor for a log line.
 * @param factor the factor
 * @return the factor with two decimals
 */
std::string factorText(double factor);

} // namespace teaselward
