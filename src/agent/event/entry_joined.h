#pragma once

#include "core/entry_info.h"

namespace teaselward
{

/** The agent registered with an entry. */
struct entry_joined {
    entry_info info;
};

} // namespace teaselward
