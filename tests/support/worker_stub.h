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
 * Stand-in for a worker of the users' platform: it sends heartbeats to its agent, runs tasks for the milliseconds that their
 * specification names, and keeps the lease, the attempts and the fencing token as the platform's page says.
 */
class worker_stub
{
public:
    /**
     * Starts the worker.
     * @param address address to listen on, as IP:PORT
     * @param agent address of the agent for heartbeats, as IP:PORT
     * @param cpuMillis processors of the worker
     */
    worker_stub(std::string address, std::string agent, std::uint32_t cpuMillis);
    ~worker_stub();

    worker_stub(const worker_stub &) = delete;
    worker_stub &operator=(const worker_stub &) = delete;

    /** Lets further starts get no answer, and carries them out after a delay. @param starts their number @param delay the delay */
    void delayStarts(int starts, std::chrono::milliseconds delay);

    /** Lets all tasks that start from now on fail at once, or not. @param fails whether they fail */
    void setFailing(bool fails);

    /** Reports that the worker drains, or no longer. @param drains whether it drains */
    void setDraining(bool drains);

    /** @return number of runs that began */
    std::size_t startedRuns() const;

    /** @return runs in progress */
    std::size_t activeRuns() const;

    /** @return starts above the processors of the worker, and starts of a task that was running */
    std::vector<std::string> violations() const;

private:
    std::unique_ptr<detail::worker_stub_private> d;
};

} // namespace teaselward
