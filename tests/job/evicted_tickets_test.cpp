#include "job/evicted_tickets.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(evicted_tickets_test)

// Guards against a used ticket that is removed while it could still start its job again, and against one that is kept forever.
BOOST_AUTO_TEST_CASE(aTicketIsKeptUntilItHasExpired)
{
    const mono_time start{1h};
    evicted_tickets tickets(10min);
    tickets.add(5, start);
    tickets.add(6, start + 4min);
    tickets.add(5000, start + 5min);
    BOOST_TEST(tickets.contains(5));
    BOOST_TEST(tickets.contains(6));
    BOOST_TEST(!tickets.contains(7));
    BOOST_TEST(!tickets.contains(5001));
    tickets.expire(start + 10min);
    BOOST_TEST(tickets.contains(6));
    tickets.expire(start + 14min);
    BOOST_TEST(!tickets.contains(6));
    BOOST_TEST(tickets.contains(5000));
    tickets.expire(start + 15min);
    BOOST_TEST(!tickets.contains(5000));
}

BOOST_AUTO_TEST_SUITE_END()
