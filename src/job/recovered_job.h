#pragma once

#include "job/packed_answer.h"
#include "job/request_digest.h"

namespace teaselward
{

/** Final answer for a ticket whose home entry is gone. */
struct recovered_job {
    request_digest digest{};
    packed_answer answer;
};

} // namespace teaselward
