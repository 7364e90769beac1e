#pragma once

#include "agent/action/call_endpoint.h"
#include "agent/action/stop_call.h"

namespace teaselward
{

/** Adapter through which an agent runs tasks on its endpoint. It reports the end of each run by call_finished. */
class endpoint_port
{
public:
    virtual ~endpoint_port() = default;

    /**
     * Runs a task.
     * @param call the task; moved from only if it was taken
     * @return false if the ring of the adapter is full
     */
    virtual bool post(call_endpoint &&call) = 0;

    /**
     * Ends the run of a task. A task whose end was reported already is ignored.
     * @param stop the task
     * @return false if the ring of the adapter is full
     */
    virtual bool post(const stop_call &stop) = 0;

    /** Takes no further calls and waits for those in progress. */
    virtual void stop() = 0;
};

} // namespace teaselward
