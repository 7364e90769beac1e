#include "http/http_listener.h"
#include "log/null_logger.h"
#include "process/http_caller.h"

#include <boost/test/unit_test.hpp>

#include <stdexcept>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

/** Throws on the path "/throw" and answers all other requests. */
class throwing_handler : public request_handler
{
public:
    bool handle(http_exchange &exchange) override
    {
        if (exchange.request.path == "/throw") {
            throw std::runtime_error("unexpected");
        }
        exchange.response = http_response{};
        exchange.response->body = "{}";
        return true;
    }

    http_response refuseBody(reason /*why*/) override
    {
        return {};
    }

    void finished(const http_response & /*response*/, bool /*delivered*/, std::chrono::microseconds /*duration*/) override
    {
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(http_listener_test)

// Guards against an unexpected error in one request that ends the process.
BOOST_AUTO_TEST_CASE(answersAfterAHandlerHasThrown)
{
    null_logger log;
    throwing_handler handler;
    const http_listener listener({"127.0.0.1:0", 1024, 4096, 16, 10s}, handler, log);
    BOOST_TEST(testing::get("http://" + listener.address() + "/throw").status == 500);
    BOOST_TEST(testing::get("http://" + listener.address() + "/").status == 200);
}

BOOST_AUTO_TEST_SUITE_END()
