#pragma once

#include "core/entry_id.h"

namespace teaselward
{

/** The connection to another entry was lost. */
struct peer_lost {
    entry_id peer;
};

} // namespace teaselward
