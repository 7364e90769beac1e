#pragma once

#include "core/entry_info.h"

namespace teaselward
{

/** Another entry has connected. */
struct peer_joined {
    entry_info info;
};

} // namespace teaselward
