#include "place/speed_class.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

// Up to this ratio, endpoints are treated alike: deployments whose machine types differ by less are served as before.
constexpr double UsualRatio = 1.6;

// An endpoint changes to a class farther from the usual one only if it exceeds the limit by a tenth, and back at the limit itself. At 0.06
// standard error of a factor, an endpoint that is 1.3 times slower exceeds it about once in a million estimates.
constexpr double Margin = 1.1;

// Number of limits between the usual class and that of a factor, whose logarithm is positive.
std::size_t distance(double logFactor)
{
    const double width = 2 * std::log(UsualRatio);
    const double steps = std::ceil((logFactor - std::log(UsualRatio)) / width);
    return static_cast<std::size_t>(std::clamp(steps, 0.0, static_cast<double>(UsualSpeedClass)));
}

std::size_t classAt(double logFactor, std::size_t steps)
{
    return logFactor < 0 ? UsualSpeedClass - steps : UsualSpeedClass + steps;
}

} // namespace

std::size_t speedClass(double relativeFactor, std::size_t current)
{
    const double logFactor = std::log(relativeFactor);
    const double size = std::abs(logFactor);
    const std::size_t nearest = classAt(logFactor, distance(std::max(0.0, size - std::log(Margin))));
    const std::size_t farthest = classAt(logFactor, distance(size));
    return std::clamp(current, std::min(nearest, farthest), std::max(nearest, farthest));
}

} // namespace teaselward
