#pragma once

#include "agent/run/run_call.h"
#include "agent/run/run_supervisor.h"
#include "base/clock.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <vector>

namespace teaselward
{

namespace detail
{
class call_dispatcher_private;
}

/**
 * Decides which calls to an endpoint may be sent, so that none of them changes a later instance of the endpoint. An endpoint may start
 * again under its id, and a call names only the id. A connection does not outlive the instance that accepted it, so it is confirmed once
 * the adopted instance has answered a list call through it. Starts wait for an idle confirmed connection; the lease is renewed through
 * such a connection only. It does no I/O and reads no clock.
 */
class call_dispatcher
{
public:
    /**
     * Creates a dispatcher without calls.
     * @param startLimit longest time for which a start waits
     */
    explicit call_dispatcher(std::chrono::milliseconds startLimit);
    ~call_dispatcher();

    call_dispatcher(const call_dispatcher &) = delete;
    call_dispatcher &operator=(const call_dispatcher &) = delete;

    /**
     * Takes the calls of a supervisor and returns those to send now. Starts come first, so that they get the confirmed connections. A list
     * call that has to use another connection renews no lease, acknowledges no ends and is answered at once; such calls are requested for starts
     * that wait. Starts that have waited too long are reported to the supervisor as not sent.
     * @param supervisor the supervisor
     * @param idleConnections number of idle confirmed connections
     * @param openingLists number of unanswered list calls on other connections
     * @param now current time
     * @return the calls, in order; each is returned once
     */
    std::vector<run_call> collect(run_supervisor &supervisor, std::size_t idleConnections, std::size_t openingLists, mono_time now);

    /**
     * Adds a call again that was not sent, since its connection turned out not to be confirmed. It comes before all others of its kind.
     * @param call the call
     * @param now current time
     */
    void putBack(run_call call, mono_time now);

    /** @return time at which collect() must be called; the maximum if no start waits */
    mono_time nextDue() const;

    /** Drops all calls. */
    void clear();

    /**
     * Returns whether a call would change the next instance of the endpoint in a way that its agent does not expect.
     * @param call the call
     * @return whether it may be sent through a confirmed connection only
     */
    static bool needsConfirmed(const run_call &call);

private:
    std::unique_ptr<detail::call_dispatcher_private> d;
};

} // namespace teaselward
