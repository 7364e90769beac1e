#pragma once

#include "http/bearer_token.h"
#include "http/event_dispatcher.h"
#include "http/finish_reporter.h"
#include "http/front_end_settings.h"
#include "http/request_handler.h"
#include "http/ticket_codec.h"

#include <string_view>

namespace teaselward
{

/** HTTP handler for operators and for the platform's load balancer. It runs on the thread of the operators' listener. */
class operator_api : public request_handler
{
public:
    /**
     * Creates the handler. All references must outlive it.
     * @param settings token and limits
     * @param codec codec of the tickets
     * @param dispatcher posts requests to the decision thread
     * @param reporter reports completed requests
     */
    operator_api(const front_end_settings &settings, const ticket_codec &codec, event_dispatcher &dispatcher, finish_reporter &reporter);

    bool handle(http_exchange &exchange) override;
    http_response refuseBody(reason why) override;
    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override;

private:
    bool reportLiveness(http_exchange &exchange, std::string_view argument);
    bool reportReadiness(http_exchange &exchange, std::string_view argument);
    bool reportStatus(http_exchange &exchange, std::string_view argument);
    bool reportMetrics(http_exchange &exchange, std::string_view argument);
    bool startDrain(http_exchange &exchange, std::string_view argument);
    bool cancelJob(http_exchange &exchange, std::string_view argument);

    bool requestStatus(http_exchange &exchange, status_view view);

    const front_end_settings &m_settings;
    const ticket_codec &m_codec;
    event_dispatcher &m_dispatcher;
    finish_reporter &m_reporter;
    bearer_token m_token;
};

} // namespace teaselward
