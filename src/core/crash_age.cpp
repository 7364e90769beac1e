#include "core/crash_age.h"

#include <algorithm>

namespace teaselward
{

namespace
{

using std::chrono::milliseconds;

constexpr milliseconds DetectionDelay{20}; // A refused connection shows a crash at the next list call or start.
constexpr int AgeTolerance = 4; // Endpoints differ in speed by less than this part of the age.

} // namespace

bool isSameCrashAge(milliseconds first, milliseconds second)
{
    const milliseconds difference = std::max(first, second) - std::min(first, second);
    return difference <= std::max(DetectionDelay, std::max(first, second) / AgeTolerance);
}

} // namespace teaselward
