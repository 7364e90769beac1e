#pragma once

#include "core/job_answer.h"
#include "core/reason.h"

#include <chrono>

namespace teaselward
{

/**
 * Builds the answer to a refused request. It says "not run" if the reason proves that no task was or will be started, following
 * the table of reasons on the design page.
 * @param why reason of the refusal
 * @param retryAfter delay after which a new attempt is useful; zero if none is suggested
 */
job_answer refusal(reason why, std::chrono::milliseconds retryAfter = {});

} // namespace teaselward
