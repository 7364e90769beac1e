#include "agent/held_start.h"

namespace teaselward
{

std::optional<mono_time> held_start::due() const
{
    return order.slack ? std::optional(heldSince + *order.slack) : std::nullopt;
}

} // namespace teaselward
