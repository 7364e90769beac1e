#pragma once

#include "http/http_reply.h"
#include "http/pending_requests.h"
#include "http/ticket_codec.h"
#include "log/decision_log.h"

#include <span>
#include <string>

namespace teaselward
{

/** Turns answers of the decisions into responses. It runs on the reply thread. */
class reply_writer
{
public:
    /**
     * Creates a writer. All references must outlive the object.
     * @param codec codec of the tickets
     * @param callers waiting requests of callers
     * @param operators waiting requests of operators
     * @param log receiver of the log lines
     */
    reply_writer(const ticket_codec &codec, pending_requests &callers, pending_requests &operators, decision_log &log);

    /**
     * Applies one item of the ring.
     * @param reply the item
     */
    void apply(const http_reply &reply);

    /** Answers the requests that wait although no answer will come any more. */
    void answerRest();

private:
    void onAction(const entry_action &action);
    void onFinished(const request_finished &finished);
    void writeTickets(const reply_tickets &reply);
    void writeAnswer(const reply_job &reply);
    std::optional<pending_request> takeRequest(const request_id &request);

    const ticket_codec &m_codec;
    pending_requests &m_callers;
    pending_requests &m_operators;
    decision_log &m_log;
};

} // namespace teaselward
