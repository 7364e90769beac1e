#pragma once

#include "core/entry_id.h"

#include <cstdint>

namespace teaselward
{

/** Change of the slot credits of one entry. */
struct credit_grant {
    entry_id entry;
    std::int32_t delta = 0; ///< Negative if credits are recalled.
};

} // namespace teaselward
