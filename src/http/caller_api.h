#pragma once

#include "http/event_dispatcher.h"
#include "http/finish_reporter.h"
#include "http/front_end_settings.h"
#include "http/request_handler.h"
#include "http/ticket_codec.h"

#include <string_view>

namespace teaselward
{

/** HTTP handler for callers. It runs on the thread of the callers' listener. */
class caller_api : public request_handler
{
public:
    /**
     * Creates the handler. All references must outlive it.
     * @param settings limits of the interface
     * @param codec codec of the tickets
     * @param dispatcher posts requests to the decision thread
     * @param reporter reports completed requests
     */
    caller_api(const front_end_settings &settings, const ticket_codec &codec, event_dispatcher &dispatcher, finish_reporter &reporter);

    bool handle(http_exchange &exchange) override;
    http_response refuseBody(reason why) override;
    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override;

private:
    bool issueTickets(http_exchange &exchange, std::string_view argument);
    bool submitJob(http_exchange &exchange, std::string_view argument);
    bool queryJob(http_exchange &exchange, std::string_view argument);
    bool cancelJob(http_exchange &exchange, std::string_view argument);

    const front_end_settings &m_settings;
    const ticket_codec &m_codec;
    event_dispatcher &m_dispatcher;
    finish_reporter &m_reporter;
};

} // namespace teaselward
