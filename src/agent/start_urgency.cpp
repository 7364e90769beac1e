#include "agent/start_urgency.h"

namespace teaselward
{

bool isMoreUrgent(const held_start &left, const held_start &right, mono_time now)
{
    const bool leftInTime = left.due() >= now;
    const bool rightInTime = right.due() >= now;
    return leftInTime != rightInTime ? leftInTime : left.due() < right.due();
}

} // namespace teaselward
