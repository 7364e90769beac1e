#include "http/endpoint_client.h"

#include "log/null_log.h"
#include "stub/endpoint_stub.h"

#include <boost/test/unit_test.hpp>

#include <variant>

using namespace teaselward;

namespace
{

/** Client with the ring that gets its events. */
struct fixture {
    explicit fixture(const std::string &address, std::uint32_t connections = 64)
        : events(256)
        , client({.address = address, .connections = connections}, events, log)
    {
    }

    void post(std::uint32_t index, const std::string &payload, std::chrono::milliseconds limit = std::chrono::seconds(20))
    {
        call_endpoint call{{{7, 3}, index}, "check", payload, limit};
        const bool taken = client.post(std::move(call));
        BOOST_REQUIRE(taken);
    }

    call_finished next()
    {
        auto event = events.popUntil(mono_clock::now() + std::chrono::seconds(20));
        BOOST_REQUIRE(event.has_value());
        return std::get<call_finished>(std::move(*event));
    }

    null_log log;
    bounded_ring<agent_event> events;
    endpoint_client client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_client_test)

// Guards against a result or a task identifier that is lost on the way to or from the endpoint.
BOOST_AUTO_TEST_CASE(returnsTheResultOfTheEndpoint)
{
    const endpoint_stub stub({});
    fixture client(stub.address());
    client.post(5, "payload");
    const call_finished finished = client.next();
    BOOST_TEST((finished.id == task_id{{7, 3}, 5}));
    BOOST_TEST((finished.outcome.verdict == task_verdict::succeeded));
    BOOST_TEST(finished.outcome.body == "PAYLOAD");
    BOOST_TEST(stub.tasks().at(0) == "7-3-5");
    BOOST_TEST(stub.paths().at(0) == "/run/check");
}

BOOST_AUTO_TEST_SUITE_END()
