#include "core/shared_routes.h"
#include "http/event_dispatcher.h"
#include "http/http_listener.h"
#include "http/raw_connection.h"
#include "log/null_logger.h"
#include "platform/client_headers.h"
#include "platform/job_api.h"

#include <boost/test/unit_test.hpp>

#include <absl/synchronization/notification.h>

#include <memory>
#include <optional>
#include <string>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

/** Passes requests on once it is released, like a thread of a process that was paused. */
class paused_handler : public request_handler
{
public:
    explicit paused_handler(request_handler &next)
        : m_next(next)
    {
    }

    bool handle(http_exchange &exchange) override
    {
        if (!arrived.HasBeenNotified()) {
            arrived.Notify();
        }
        released.WaitForNotification();
        return m_next.handle(exchange);
    }

    http_response refuseBody(reason why) override
    {
        return m_next.refuseBody(why);
    }

    void finished(const http_response &response, bool delivered, std::chrono::microseconds duration) override
    {
        m_next.finished(response, delivered, duration);
    }

    absl::Notification arrived;
    absl::Notification released;

private:
    request_handler &m_next;
};

/** Front end for platform clients without its threads for replies and checks. */
struct client_front_end {
    client_front_end()
    {
        route_config config;
        config.version = 1;
        config.routes.push_back({.kind = "order", .host = "test", .pathPrefix = "/order/", .service = "service"});
        routes.set(std::make_shared<route_table>(std::move(config)));
        http_listener_settings settings{"127.0.0.1:0", 1024, 4096, 16, 10s};
        settings.headers = clientHeaders();
        listener.emplace(settings, handler, log);
    }

    ~client_front_end()
    {
        for (const pending_request &request : pending.close()) {
            resumeExchange(*request.exchange, {});
        }
        listener->stop();
    }

    static bool submit(const raw_connection &client, const std::string &id)
    {
        return client.sendRequest("POST", "/order/" + id, R"({"Spec":"x","BestEffort":true,"Steps":[{"Count":1,"Cpu":100}]})");
    }

    null_logger log;
    shared_routes routes;
    pending_requests pending;
    bounded_ring<entry_event> events{16};
    event_dispatcher dispatcher{request_origin::platformClient, pending, events};
    job_api api{routes, dispatcher, [](reason /*why*/, bool /*delivered*/, std::chrono::microseconds /*duration*/) {}, log};
    paused_handler handler{api};
    std::optional<http_listener> listener;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(job_api_test, client_front_end)

// Guards against a job for a client that has left while its request waited in the socket of a paused process.
BOOST_AUTO_TEST_CASE(aRequestWhoseClientHasLeftIsNotPassedOn)
{
    auto leaving = std::make_unique<raw_connection>(listener->address());
    BOOST_REQUIRE(submit(*leaving, "0000000000000001"));
    handler.arrived.WaitForNotification();
    leaving.reset();
    handler.released.Notify();
    const raw_connection waiting(listener->address());
    const mono_time before = mono_clock::now();
    BOOST_REQUIRE(submit(waiting, "0000000000000002"));
    const auto event = events.popUntil(mono_clock::now() + 20s);
    BOOST_REQUIRE(event.has_value());
    const auto &submitted = std::get<keyed_job_submitted>(*event);
    BOOST_TEST(submitted.job.key == "0000000000000002");
    BOOST_TEST((submitted.callerSeenAt >= before));
    BOOST_TEST((submitted.callerSeenAt <= mono_clock::now()));
}

BOOST_AUTO_TEST_SUITE_END()
