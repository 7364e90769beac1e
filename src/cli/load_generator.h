#pragma once

#include "cli/load_report.h"
#include "cli/load_settings.h"

#include <chrono>
#include <memory>

namespace teaselward
{

namespace detail
{
class load_generator_private;
}

/**
 * Sends the jobs of a load_plan at their arrival times, whether or not earlier ones are answered (open loop), and measures the
 * response times. It runs on the calling thread and always ends, because each request has a timeout.
 */
class load_generator
{
public:
    /**
     * Creates a generator.
     * @param settings settings of the run
     * @throws std::system_error if a timer or a libcurl handle cannot be created
     */
    explicit load_generator(const load_settings &settings);
    ~load_generator();

    load_generator(const load_generator &) = delete;
    load_generator &operator=(const load_generator &) = delete;

    /**
     * Requests the tickets of all jobs. It is called before run(), so that response times do not include these requests.
     * @return false if an entry issues no tickets
     */
    bool takeTickets();

    /**
     * Sends all jobs and waits for their answers.
     * @return time from the start of the run to the last answer
     */
    std::chrono::microseconds run();

    /** @return results of the run */
    const load_report &report() const;

private:
    std::unique_ptr<detail::load_generator_private> d;
};

} // namespace teaselward
