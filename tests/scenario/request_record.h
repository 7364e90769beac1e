#pragma once

#include "base/clock.h"
#include "core/job_answer.h"
#include "core/ticket.h"

#include <chrono>
#include <cstddef>
#include <string>
#include <vector>

namespace teaselward::testing
{

/** Request of a caller, with the last answer to it and the number of answers. */
struct request_record {
    std::size_t entry = 0;
    ticket source;
    std::vector<std::string> payloads; ///< Empty unless the request is a submission.
    mono_time sentAt{};
    std::chrono::milliseconds timeLimit{};
    bool connectionLost = false; ///< The entry was not running, or died before it answered.
    std::size_t answers = 0;
    mono_time answeredAt{};
    job_answer answer;
};

} // namespace teaselward::testing
