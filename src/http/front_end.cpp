#include "http/front_end.h"

#include "base/duty_thread.h"
#include "http/caller_api.h"
#include "http/event_dispatcher.h"
#include "http/http_listener.h"
#include "http/pending_requests.h"
#include "http/reply_writer.h"
#include "http/ticket_codec.h"

#include <optional>
#include <utility>

namespace teaselward
{

namespace detail
{

class front_end_private
{
public:
    front_end_private(const front_end_settings &frontEndSettings, bounded_ring<entry_event> &events, decision_log &log)
        : settings(frontEndSettings)
        , codec(settings.ticketKey)
        , replies(settings.ringCapacity)
        , callerDispatcher(request_origin::caller, callerRequests, events)
        , callers(settings, codec, callerDispatcher, replies)
        , writer(codec, callerRequests, operatorRequests, log)
        , callerListener({settings.listen, settings.bodyLimit, settings.connectionLimit, settings.idleTimeout}, callers, log)
    {
        replyThread.emplace("reply", [this] {
            writeReplies();
        });
    }

    // Duty of the reply thread.
    void writeReplies()
    {
        while (const auto reply = replies.pop()) {
            writer.apply(*reply);
        }
        writer.answerRest();
    }

    const front_end_settings settings;
    ticket_codec codec;
    bounded_ring<http_reply> replies;
    pending_requests callerRequests;
    pending_requests operatorRequests;
    event_dispatcher callerDispatcher;
    caller_api callers;
    reply_writer writer;
    http_listener callerListener;
    std::optional<duty_thread> replyThread;
};

} // namespace detail

front_end::front_end(const front_end_settings &settings, bounded_ring<entry_event> &events, decision_log &log)
    : d(std::make_unique<detail::front_end_private>(settings, events, log))
{
}

front_end::~front_end()
{
    stop();
}

std::string front_end::callerAddress() const
{
    return d->callerListener.address();
}

bool front_end::post(entry_action reply)
{
    return d->replies.push(std::move(reply));
}

// The reply thread ends before the listeners stop, because the library allows no suspended connection at its end.
void front_end::stop()
{
    d->callerListener.quiesce();
    d->replies.close();
    d->replyThread.reset();
    d->callerListener.stop();
}

} // namespace teaselward
