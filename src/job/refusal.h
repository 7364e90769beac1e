#pragma once

#include "core/job_answer.h"
#include "core/reason.h"

#include <chrono>

namespace teaselward
{

/**
 * Builds the answer to a refused submission. It says "not run" as the table of reasons on the design page does.
 * @param why reason of the refusal
 * @param retryAfter earliest useful time for a new attempt; zero if none
 */
job_answer refusal(reason why, std::chrono::milliseconds retryAfter = {});

} // namespace teaselward
