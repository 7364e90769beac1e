#pragma once

#include "core/shared_routes.h"
#include "http/event_dispatcher.h"
#include "http/request_handler.h"
#include "log/logger.h"

#include <functional>

namespace teaselward
{

/** Requests of the platform's clients: submissions by their own identifier, and questions about jobs and routes. */
class job_api : public request_handler
{
public:
    using count_function = std::function<void(reason why, bool delivered, std::chrono::microseconds duration)>;

    /**
     * Creates the handler. All references must outlive it.
     * @param routes routes in force
     * @param dispatcher passes submissions to the decisions
     * @param count counts a request that has ended, by its outcome, delivery and duration; called by the listener's thread
     * @param log receiver of the log lines
     */
    job_api(const shared_routes &routes, event_dispatcher &dispatcher, count_function count, logger &log);

    bool handle(http_exchange &exchange) override;
    http_response refuseBody(reason why) override;
    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override;

private:
    using handler = bool (job_api::*)(http_exchange &exchange, const route &found, std::string_view id);

    /** Row of the table of methods. */
    struct method_row {
        std::string_view method;
        handler handle;
    };

    bool submit(http_exchange &exchange, const route &found, std::string_view id);
    bool query(http_exchange &exchange, const route &found, std::string_view id);
    bool cancel(http_exchange &exchange, const route &found, std::string_view id);
    bool refuse(http_exchange &exchange, unsigned status, reason why, std::string_view text, std::string_view id) const;

    const shared_routes &m_routes;
    event_dispatcher &m_dispatcher;
    count_function m_count;
    logger &m_log;
};

} // namespace teaselward
