#pragma once

#include "base/bounded_ring.h"
#include "core/request_id.h"
#include "http/answer_codec.h"
#include "http/pending_requests.h"
#include "job/entry_event.h"

#include <utility>

namespace teaselward
{

/** Posts the requests of one listener to the decision thread. */
class event_dispatcher
{
public:
    /**
     * Creates a dispatcher.
     * @param origin origin of the requests
     * @param pending table of the listener; it must outlive the dispatcher
     * @param events ring of the decision thread; it must outlive the dispatcher
     */
    event_dispatcher(request_origin origin, pending_requests &pending, bounded_ring<entry_event> &events)
        : m_origin(origin)
        , m_pending(pending)
        , m_events(events)
    {
    }

    /**
     * Posts an event that will be answered. While the ring is full, the request is refused as overloaded.
     * @param exchange the request
     * @param event the event; its request number is set here
     * @param unanswered answer if the front end stops before the decision thread has answered
     * @param refusedNotRun whether a refusal here proves that no task runs
     * @param view view of the entry's status, if that is requested
     * @return as request_handler::handle()
     */
    template<typename Event>
    bool dispatch(http_exchange &exchange, Event event, const job_answer &unanswered, bool refusedNotRun, status_view view = status_view::full)
    {
        const auto number = m_pending.add({&exchange, unanswered, view});
        if (!number) {
            exchange.response = encodeRefusal(reason::draining, refusedNotRun, "the process is stopping");
            return true;
        }
        event.request = request_id{m_origin, *number};
        if (!m_events.tryPush(entry_event(std::move(event)))) {
            // Unless stop() has taken the request, its connection is still suspended and has to be resumed here.
            if (const auto request = m_pending.take(*number)) {
                resumeExchange(*request->exchange, encodeRefusal(reason::overloaded, refusedNotRun, {}));
            }
            return false;
        }
        m_pending.markPosted(*number);
        return false;
    }

    /**
     * Posts an event that has no answer.
     * @param event the event
     * @return false if the ring is full
     */
    bool notify(entry_event event)
    {
        return m_events.tryPush(std::move(event));
    }

private:
    request_origin m_origin;
    pending_requests &m_pending;
    bounded_ring<entry_event> &m_events;
};

} // namespace teaselward
