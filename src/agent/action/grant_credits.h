#pragma once

#include "core/entry_id.h"

#include <cstdint>

namespace teaselward
{

/** Changes the credits of an entry. */
struct grant_credits {
    entry_id entry;
    std::int32_t delta = 0;
};

} // namespace teaselward
