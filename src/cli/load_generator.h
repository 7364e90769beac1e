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
 * Sends the jobs of a plan at their times, whether or not earlier ones are answered, and measures the answers. It runs on
 * the calling thread and ends by itself: each request has a time-out.
 */
class load_generator
{
public:
    /**
     * Creates a generator.
     * @param settings settings of the run
     * @throws std::system_error if the system or the library has no memory or descriptor left
     */
    explicit load_generator(const load_settings &settings);
    ~load_generator();

    load_generator(const load_generator &) = delete;
    load_generator &operator=(const load_generator &) = delete;

    /**
     * Takes the tickets before the run, so that they do not count in the response times.
     * @return false if an entry issues none
     */
    bool takeTickets();

    /**
     * Sends all jobs and waits for their answers.
     * @return time from the start of the run to the last answer
     */
    std::chrono::microseconds run();

    /** @return measures of the run */
    const load_report &report() const;

private:
    std::unique_ptr<detail::load_generator_private> d;
};

} // namespace teaselward
