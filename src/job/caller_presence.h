#pragma once

#include "base/clock.h"
#include "core/request_id.h"
#include "job/job_record.h"

#include <cstdint>

namespace teaselward
{

/**
 * Knows when the callers of jobs were last seen connected. A platform client whose connection has broken submits its job again,
 * to any entry, so its tasks may only start while it is known to wait here.
 */
class caller_presence
{
public:
    /**
     * Returns whether the requests of an origin are submitted again elsewhere once their connection has broken.
     * @param request the request
     */
    static bool isRequired(const request_id &request);

    /**
     * Records a check of the connections of all waiting platform clients.
     * @param checkedAt time before the first connection was checked
     * @param lastRequest highest number of a request that was checked
     */
    void recordCheck(mono_time checkedAt, std::uint64_t lastRequest);

    /**
     * Returns when a caller of a job was last known to be connected.
     * @param job the job
     * @return the time; mono_time::max() if the job does not depend on the connection of its caller
     */
    mono_time seenAt(const job_record &job) const;

private:
    mono_time m_checkedAt{};
    std::uint64_t m_lastRequest = 0;
};

} // namespace teaselward
