#pragma once

#include <vector>

namespace teaselward
{

/**
 * Finds a percentile.
 * @param values measurements in any order
 * @param fraction from 0 to 1
 * @return the value, or zero if there is none
 */
double percentile(std::vector<double> values, double fraction);

} // namespace teaselward
