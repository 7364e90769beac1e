#pragma once

#include "job/packed_answer.h"
#include "job/request_digest.h"

namespace teaselward
{

/** Answer that an entry gave for a ticket whose home is gone. */
struct recovered_job {
    request_digest digest{};
    packed_answer answer;
};

} // namespace teaselward
