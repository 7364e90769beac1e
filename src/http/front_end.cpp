#include "http/front_end.h"

#include "base/duty_thread.h"
#include "http/caller_api.h"
#include "http/event_dispatcher.h"
#include "http/http_error.h"
#include "http/http_listener.h"
#include "http/listen_address.h"
#include "http/operator_api.h"
#include "http/pending_requests.h"
#include "http/reply_writer.h"
#include "http/ticket_codec.h"

#include <cstdint>
#include <optional>
#include <system_error>
#include <utility>

namespace teaselward
{

namespace
{

// Operators and the load balancer open few connections; the limit keeps them from exhausting the descriptors of the process.
constexpr std::uint32_t MaxOperatorConnections = 64;

} // namespace

namespace detail
{

class front_end_private
{
public:
    front_end_private(const front_end_settings &frontEndSettings, bounded_ring<entry_event> &events, logger &log)
        : settings(frontEndSettings)
        , codec(settings.ticketKey)
        , replies(settings.ringCapacity)
        , callerDispatcher(request_origin::caller, callerRequests, events)
        , operatorDispatcher(request_origin::operators, operatorRequests, events)
        , callerReporter(request_origin::caller, replies)
        , operatorReporter(request_origin::operators, replies)
        , callers(settings, codec, callerDispatcher, callerReporter)
        , operators(settings, codec, operatorDispatcher, operatorReporter)
        , writer(
              codec,
              callerRequests,
              operatorRequests,
              [this](request_origin origin) {
                  return connections(origin);
              },
              log)
    {
        try {
            openListeners(log);
            replyThread.emplace("reply", [this] {
                writeReplies();
            });
        } catch (...) {
            writer.answerRemaining(); // A listener may have accepted requests already, and must not stop while a connection is suspended.
            throw;
        }
    }

    void openListeners(logger &log)
    {
        http_listener_settings common{settings.listen, settings.bodyLimit, settings.bufferLimit, settings.connectionLimit, settings.idleTimeout};
        callerListener.emplace(common, callers, log);
        if (settings.adminListen.empty()) {
            return;
        }
        if (settings.adminToken.empty() && !listen_address(settings.adminListen).isLoopback()) {
            throw std::system_error(http_error::tokenMissing, settings.adminListen);
        }
        common.listen = settings.adminListen;
        common.connectionLimit = MaxOperatorConnections;
        operatorListener.emplace(common, operators, log);
    }

    std::int64_t connections(request_origin origin) const
    {
        const auto &listener = origin == request_origin::operators ? operatorListener : callerListener;
        return listener ? listener->connections() : 0;
    }

    // Loop of the reply thread.
    void writeReplies()
    {
        while (const auto reply = replies.pop()) {
            writer.apply(*reply);
        }
        writer.answerRemaining();
    }

    const front_end_settings settings;
    ticket_codec codec;
    bounded_ring<http_reply> replies;
    pending_requests callerRequests;
    pending_requests operatorRequests;
    event_dispatcher callerDispatcher;
    event_dispatcher operatorDispatcher;
    finish_reporter callerReporter;
    finish_reporter operatorReporter;
    caller_api callers;
    operator_api operators;
    reply_writer writer;
    std::optional<http_listener> callerListener;
    std::optional<http_listener> operatorListener;
    std::optional<duty_thread> replyThread;
};

} // namespace detail

front_end::front_end(const front_end_settings &settings, bounded_ring<entry_event> &events, logger &log)
    : d(std::make_unique<detail::front_end_private>(settings, events, log))
{
}

front_end::~front_end()
{
    stop();
}

std::string front_end::callerAddress() const
{
    return d->callerListener->address();
}

std::string front_end::operatorAddress() const
{
    return d->operatorListener ? d->operatorListener->address() : std::string();
}

bool front_end::post(entry_action reply)
{
    return d->replies.push(std::move(reply));
}

// The reply thread ends before the listeners stop, because libmicrohttpd must not have suspended connections when it stops.
void front_end::stop()
{
    d->callerListener->quiesce();
    if (d->operatorListener) {
        d->operatorListener->quiesce();
    }
    d->replies.close();
    d->replyThread.reset();
    d->callerListener->stop();
    if (d->operatorListener) {
        d->operatorListener->stop();
    }
}

} // namespace teaselward
