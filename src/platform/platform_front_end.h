#pragma once

#include "base/bounded_ring.h"
#include "core/shared_routes.h"
#include "job/action/reply_job.h"
#include "job/entry_event.h"
#include "log/logger.h"
#include "platform/platform_front_end_settings.h"

#include <functional>
#include <memory>

namespace teaselward
{

namespace detail
{
class platform_front_end_private;
}

/** Front of an entry towards the platform's clients and its balancer: listeners, answers, and the watch for clients that leave. */
class platform_front_end
{
public:
    /**
     * Starts the threads.
     * @param settings addresses and limits
     * @param routes routes in force; they must outlive the front
     * @param events ring of the decision thread
     * @param isReady tells the balancer whether new connections are welcome; any thread may call it
     * @param log receiver of the log lines; it must outlive the front
     * @throws std::system_error if a listener cannot be opened
     */
    platform_front_end(const platform_front_end_settings &settings,
                       const shared_routes &routes,
                       bounded_ring<entry_event> &events,
                       std::function<bool()> isReady,
                       logger &log);
    ~platform_front_end();

    platform_front_end(const platform_front_end &) = delete;
    platform_front_end &operator=(const platform_front_end &) = delete;

    /**
     * Answers a submission.
     * @param reply the answer
     * @return false after stop()
     */
    bool post(reply_job reply);

    /** Moves the clients to other entries: each connection is closed after its next answer. Any thread may call it. */
    void beginDrain();

    /** Sends the answers that are set and ends the threads; requests without an answer get a failure that says so. */
    void stop();

private:
    std::unique_ptr<detail::platform_front_end_private> d;
};

} // namespace teaselward
