#pragma once

#include "core/job_request.h"

#include <array>
#include <cstdint>

namespace teaselward
{

/** Digest of the content of a submission: its workspace (team), kind and payloads. */
using request_digest = std::array<std::uint64_t, 2>;

/**
 * Computes the digest that distinguishes a resubmission from different content under the same ticket.
 * @param job the submission
 * @return 128 bits of BLAKE2b
 */
request_digest digestOf(const job_request &job);

} // namespace teaselward
