#pragma once

#include <cstddef>

namespace teaselward
{

/** Speed classes of endpoints are numbered from the fastest; the usual class lies in the middle. */
constexpr std::size_t SpeedClasses = 5;
constexpr std::size_t UsualSpeedClass = 2;

/**
 * Returns the speed class of an endpoint. Endpoints of up to 1.6 times the median run time, or of no less than its 1.6th part, belong to the
 * usual class; each further class spans the 2.56-fold. An endpoint leaves the usual class only beyond these limits by a margin.
 * @param relativeFactor run time factor relative to the median
 * @param current present class of the endpoint
 */
std::size_t speedClass(double relativeFactor, std::size_t current);

} // namespace teaselward
