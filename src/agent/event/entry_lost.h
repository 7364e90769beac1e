#pragma once

#include "core/entry_id.h"

namespace teaselward
{

/** The connection to an entry was lost. */
struct entry_lost {
    entry_id entry;
};

} // namespace teaselward
