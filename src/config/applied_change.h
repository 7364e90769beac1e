#pragma once

#include "config/change_record.h"
#include "config/change_result.h"

#include <cstdint>

namespace teaselward
{

/** Change that a reader has processed, with its result. */
struct applied_change {
    std::uint64_t offset = 0;
    change_record change;
    change_result result;
};

} // namespace teaselward
