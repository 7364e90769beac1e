#pragma once

namespace teaselward
{

/** Tells every entry that no new work is accepted. */
struct announce_leaving {
};

} // namespace teaselward
