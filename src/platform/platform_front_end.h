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

/**
 * HTTP front end of an entry for the platform's clients and load balancer. It runs the listeners, sends the answers and detects
 * clients that have closed their connections.
 */
class platform_front_end
{
public:
    /**
     * Opens the listeners and starts the threads.
     * @param settings addresses and limits
     * @param routes active routes; they must outlive the front end
     * @param events ring of the decision thread
     * @param isReady returns whether the load balancer may send new connections; called on the listener's thread
     * @param log logger; it must outlive the front end
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

    /** Starts draining: each connection is closed after its next response, so that clients reconnect to other entries. Any thread may call it. */
    void beginDrain();

    /** Sends the answers that were posted and ends the threads. Requests without an answer fail with an unknown outcome. */
    void stop();

private:
    std::unique_ptr<detail::platform_front_end_private> d;
};

} // namespace teaselward
