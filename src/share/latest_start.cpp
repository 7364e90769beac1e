#include "share/latest_start.h"

namespace teaselward
{

std::optional<mono_time> latestStart(std::optional<mono_time> due, bool isPlaceable, mono_time now)
{
    return isPlaceable && due && *due > now ? due : std::nullopt;
}

} // namespace teaselward
