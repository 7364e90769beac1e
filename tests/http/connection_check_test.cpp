#include "http/http_listener.h"
#include "http/pending_requests.h"
#include "http/raw_connection.h"
#include "log/null_logger.h"

#include <boost/test/unit_test.hpp>

#include <absl/synchronization/notification.h>

#include <memory>
#include <optional>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

/** Checks the connections before and after the request is marked as posted, once it is released. */
class checking_handler : public request_handler
{
public:
    bool handle(http_exchange &exchange) override
    {
        arrived.Notify();
        released.WaitForNotification();
        number = *pending.add({.exchange = &exchange, .unanswered = {}});
        early = pending.checkConnections();
        pending.markPosted(number);
        late = pending.checkConnections();
        repeated = pending.checkConnections();
        checked.Notify();
        return false;
    }

    http_response refuseBody(reason /*why*/) override
    {
        return {};
    }

    void finished(const http_response & /*response*/, bool /*delivered*/, std::chrono::microseconds /*duration*/) override
    {
    }

    pending_requests pending;
    std::uint64_t number = 0;
    connection_check early;
    connection_check late;
    connection_check repeated;
    absl::Notification arrived;
    absl::Notification released;
    absl::Notification checked;
};

/** Listener whose only request is checked. */
struct checking_listener {
    ~checking_listener()
    {
        for (const pending_request &request : handler.pending.close()) {
            resumeExchange(*request.exchange, {});
        }
        listener.stop();
    }

    null_logger log;
    checking_handler handler;
    http_listener listener{{"127.0.0.1:0", 1024, 4096, 16, 10s}, handler, log};
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(connection_check_test, checking_listener)

// Guards against a client that leaves before its request is in the ring of the decisions: they would learn of the end first, ignore it
// and then start a job whose caller is never reported again.
BOOST_AUTO_TEST_CASE(aRequestIsNotCoveredBeforeItIsPosted)
{
    auto client = std::make_unique<raw_connection>(listener.address());
    BOOST_REQUIRE(client->sendRequest("POST", "/", "{}"));
    handler.arrived.WaitForNotification();
    client.reset();
    handler.released.Notify();
    handler.checked.WaitForNotification();
    BOOST_TEST(handler.early.lastRequest < handler.number);
    BOOST_TEST(handler.early.closed.empty());
    BOOST_TEST(handler.late.lastRequest == handler.number);
    BOOST_REQUIRE(handler.late.closed.size() == 1U);
    BOOST_TEST(handler.late.closed.front() == handler.number);
    BOOST_TEST(handler.repeated.closed.empty());
}

// Guards against a client that still waits and is taken for one that has left, and against a result that is newer than its check.
BOOST_AUTO_TEST_CASE(aWaitingClientIsCoveredByTheCheck)
{
    const raw_connection client(listener.address());
    BOOST_REQUIRE(client.sendRequest("POST", "/", "{}"));
    handler.arrived.WaitForNotification();
    const mono_time before = mono_clock::now();
    handler.released.Notify();
    handler.checked.WaitForNotification();
    BOOST_TEST(handler.late.lastRequest == handler.number);
    BOOST_TEST(handler.late.closed.empty());
    BOOST_TEST((handler.late.checkedAt >= before));
    BOOST_TEST((handler.late.checkedAt <= mono_clock::now()));
}

BOOST_AUTO_TEST_SUITE_END()
