#pragma once

#include <vector>

namespace teaselward
{

/**
 * Computes a percentile.
 * @param values measurements in any order
 * @param fraction percentile as a fraction from 0 to 1
 * @return the percentile, or zero without measurements
 */
double percentile(std::vector<double> values, double fraction);

} // namespace teaselward
