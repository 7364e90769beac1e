#pragma once

#include "config/change_record.h"
#include "config/fold_result.h"

#include <cstdint>

namespace teaselward
{

/** Change that a reader has read and folded. */
struct read_step {
    std::uint64_t offset = 0;
    change_record change;
    fold_result result;
};

} // namespace teaselward
