#pragma once

#include "http/http_reply.h"
#include "http/pending_requests.h"
#include "http/ticket_codec.h"
#include "log/logger.h"
#include "metrics/request_metrics.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace teaselward
{

/** Turns answers of the decision thread into responses. It runs on the reply thread. */
class reply_writer
{
public:
    /**
     * Creates a writer. All references must outlive the object.
     * @param codec codec of the tickets
     * @param callers pending requests of callers
     * @param operators pending requests of operators
     * @param connections returns the number of open connections of a listener
     * @param log logger
     */
    reply_writer(const ticket_codec &codec,
                 pending_requests &callers,
                 pending_requests &operators,
                 std::function<std::int64_t(request_origin)> connections,
                 logger &log);

    /**
     * Processes one item of the ring.
     * @param reply the item
     */
    void apply(const http_reply &reply);

    /** Answers the pending requests when no further answers will come. */
    void answerRemaining();

private:
    void onAction(const entry_action &action);
    void onFinished(const request_finished &finished);
    void writeTickets(const reply_tickets &reply);
    void writeAnswer(const reply_job &reply);
    void writeStatus(const reply_status &reply);
    http_response writeFull(const entry_status &status) const;
    http_response writeReadiness(const entry_status &status) const;
    http_response writeMetrics(const entry_status &status) const;
    std::optional<pending_request> takeRequest(const request_id &request);

    const ticket_codec &m_codec;
    pending_requests &m_callers;
    pending_requests &m_operators;
    std::function<std::int64_t(request_origin)> m_connections;
    logger &m_log;
    request_metrics m_metrics;
};

} // namespace teaselward
