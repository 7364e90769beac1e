#include "rpc/factor_codec.h"

#include <algorithm>
#include <cmath>

namespace teaselward
{

namespace
{

// No endpoint in use is a hundred times faster or slower than another, so a value beyond is an error of its sender.
constexpr double MinFactor = 0.01;
constexpr double MaxFactor = 100;

} // namespace

double fromWireFactor(double value)
{
    return std::isfinite(value) && value > 0 ? std::clamp(value, MinFactor, MaxFactor) : 0;
}

} // namespace teaselward
