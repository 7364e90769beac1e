#pragma once

#include "agent/action/call_endpoint.h"
#include "agent/action/confirm_home.h"
#include "agent/action/stop_call.h"

namespace teaselward
{

/** Interface through which an agent runs tasks on its endpoint. The end of each run is reported as a call_finished event. */
class endpoint_port
{
public:
    virtual ~endpoint_port() = default;

    /**
     * Runs a task.
     * @param call the task; moved from only on success
     * @return false if the adapter's ring is full
     */
    virtual bool post(call_endpoint &&call) = 0;

    /**
     * Stops the run of a task. Ignored if its end was already reported.
     * @param stop the task
     * @return false if the adapter's ring is full
     */
    virtual bool post(const stop_call &stop) = 0;

    /**
     * Extends the time during which the runs of a home entry may go on.
     * @param home the session and the time at which it was confirmed
     * @return false if the adapter's ring is full
     */
    virtual bool post(const confirm_home &home) = 0;

    /** Stops accepting calls and waits for those in progress. */
    virtual void stop() = 0;
};

} // namespace teaselward
