#include "job/closed_tickets.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(closed_tickets_test)

// Guards against a refused ticket that starts a job when a delayed copy of its submission arrives.
BOOST_AUTO_TEST_CASE(aClosedTicketStaysClosedForItsLifetime)
{
    const mono_time start{1h};
    closed_tickets tickets(10min);
    tickets.close(5, start);
    tickets.close(4096, start + 9min);
    BOOST_TEST(tickets.isClosed(5));
    BOOST_TEST(tickets.isClosed(4096));
    BOOST_TEST(!tickets.isClosed(6));
    BOOST_TEST(!tickets.isClosed(4096 + 5));
}

// Guards against unbounded memory growth while many submissions are refused.
BOOST_AUTO_TEST_CASE(expiredRangesAreDropped)
{
    const mono_time start{1h};
    closed_tickets tickets(10min);
    tickets.close(5, start);
    tickets.close(5000, start + 21min);
    BOOST_TEST(!tickets.isClosed(5));
    BOOST_TEST(tickets.isClosed(5000));
}

BOOST_AUTO_TEST_SUITE_END()
