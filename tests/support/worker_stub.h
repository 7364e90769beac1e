#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace teaselward
{

namespace detail
{
class worker_stub_private;
}

/**
 * Stub of a worker of the users' platform. It sends heartbeats to its agent, runs each task for the number of milliseconds in
 * its specification, and enforces the lease, the attempt numbers and the fencing token as the platform does.
 */
class worker_stub
{
public:
    /**
     * Opens the listener and starts sending heartbeats.
     * @param address address to listen on, as IP:PORT
     * @param agent address to which heartbeats are sent, as IP:PORT; empty to send none
     * @param cpuMillis CPU capacity of the worker in thousandths of a core
     * @throws std::runtime_error if the listener cannot be opened
     */
    worker_stub(std::string address, std::string agent, std::uint32_t cpuMillis);
    ~worker_stub();

    worker_stub(const worker_stub &) = delete;
    worker_stub &operator=(const worker_stub &) = delete;

    /**
     * Leaves the next start requests without a response and executes them after a delay.
     * @param starts number of start requests
     * @param delay time from the request to its execution
     */
    void delayStarts(int starts, std::chrono::milliseconds delay);

    /** Sets whether tasks that start from now on fail immediately. @param fails true if they fail */
    void setFailing(bool fails);

    /** Sets the state that the heartbeats report. @param drains true for draining, false for ready */
    void setDraining(bool drains);

    /** Changes the CPU capacity while the worker runs. @param cpuMillis thousandths of a core */
    void setCapacity(std::uint32_t cpuMillis);

    /** Crashes: all runs end, and calls get no answer. The connections stay open, so callers notice nothing. */
    void crash();

    /** Starts again after crash() at the same address and under the same id, without memory of the former life. Closes its connections. */
    void restart();

    /** @return start time of the current life since 1970 */
    std::chrono::milliseconds born() const;

    /** @return number of runs started in the current life */
    std::size_t startedRunsOfThisLife() const;

    /** @return time for which the lease of the current life still holds runs */
    std::chrono::milliseconds leaseLeft() const;

    /** @return number of runs started so far */
    std::size_t startedRuns() const;

    /** @return number of runs in progress */
    std::size_t activeRuns() const;

    /** @return descriptions of starts that exceeded the CPU capacity, and of starts of a task that was already running */
    std::vector<std::string> violations() const;

private:
    std::unique_ptr<detail::worker_stub_private> d;
};

} // namespace teaselward
