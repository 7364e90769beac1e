#pragma once

#include "job/kept_answer.h"
#include "job/request_digest.h"

namespace teaselward
{

/** Answer that an entry gave for a ticket whose home is gone. */
struct recovered_job {
    request_digest digest{};
    kept_answer answer;
};

} // namespace teaselward
