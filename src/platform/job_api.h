#pragma once

#include "core/shared_routes.h"
#include "http/event_dispatcher.h"
#include "http/request_handler.h"
#include "log/logger.h"

#include <functional>

namespace teaselward
{

/** HTTP handler for the platform's clients: submissions under an identifier that the client chooses, and queries about jobs and routes. */
class job_api : public request_handler
{
public:
    using count_function = std::function<void(reason why, bool delivered, std::chrono::microseconds duration)>;

    /**
     * Creates the handler. All references must outlive it.
     * @param routes active routes
     * @param dispatcher posts submissions to the decision thread
     * @param count called on the listener's thread for each completed request, with its outcome, whether the complete response was sent, and its
     * duration
     * @param log logger
     */
    job_api(const shared_routes &routes, event_dispatcher &dispatcher, count_function count, logger &log);

    bool handle(http_exchange &exchange) override;
    http_response refuseBody(reason why) override;
    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override;

private:
    using handler = bool (job_api::*)(http_exchange &exchange, const route &found, std::string_view id);

    /** Maps an HTTP method to its handler. */
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
