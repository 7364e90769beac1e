#pragma once

#include "chain/simulated_process.h"
#include "chain/virtual_timeline.h"
#include "core/job_request.h"
#include "core/request_id.h"
#include "job/entry_event.h"

#include <cstdint>
#include <functional>
#include <map>

namespace teaselward
{

/**
 * Front end of an entry for platform clients. A request waits in the buffer of its socket until the listener's thread reads it, and
 * another thread checks periodically which clients have closed their connections.
 */
class simulated_front_end
{
public:
    /**
     * Creates a front end without connections.
     * @param timeline time of the simulation; must outlive the front end
     * @param process process of the entry; must outlive the front end
     * @param post passes an event to the decisions
     */
    simulated_front_end(virtual_timeline &timeline, simulated_process &process, std::function<void(const entry_event &event)> post);

    /** Begins the checks of a new incarnation, which has no connections. */
    void start();

    /**
     * Receives the bytes of a submission.
     * @param request the request
     * @param job the submission
     */
    void receive(const request_id &request, const job_request &job);

    /**
     * Receives the end of a connection, which the threads notice when they look at the connection.
     * @param number number of the request
     */
    void disconnect(std::uint64_t number);

    /**
     * Ends a request that is answered.
     * @param number number of the request
     */
    void finish(std::uint64_t number);

private:
    struct connection {
        bool isClosed = false;
        bool isRead = false;
        bool isReported = false;
    };

    void read(const request_id &request, const job_request &job);
    void check();

    virtual_timeline &m_timeline;
    simulated_process &m_process;
    std::function<void(const entry_event &event)> m_post;
    std::map<std::uint64_t, connection> m_connections;
    std::uint64_t m_lastRead = 0;
};

} // namespace teaselward
