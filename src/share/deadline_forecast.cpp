#include "share/deadline_forecast.h"

#include <cmath>

namespace teaselward
{

namespace
{

// Fraction of the time until the deadline that a run may take; the rest is for waiting and messages.
constexpr double UsableFraction = 0.9;

} // namespace

// Declared and usual run time spread alike on a logarithmic scale, so their geometric mean is the best forecast.
bool missesDeadline(std::chrono::duration<double> usual, std::chrono::milliseconds declared, std::chrono::milliseconds timeLimit)
{
    const std::chrono::duration<double> forecast(std::sqrt(usual.count() * std::chrono::duration<double>(declared).count()));
    return timeLimit.count() > 0 && declared > timeLimit && forecast > UsableFraction * std::chrono::duration<double>(timeLimit);
}

} // namespace teaselward
