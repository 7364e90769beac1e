#include "platform/worker_exchange.h"

#include <boost/test/unit_test.hpp>

#include <cerrno>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(worker_exchange_test)

// Guards against a worker that is taken as ended, and its runs as over, because a connection failed for a reason of the agent.
BOOST_AUTO_TEST_CASE(onlyARefusedConnectionShowsThatAWorkerHasEnded)
{
    BOOST_TEST((worker_exchange::connectionFailure(ECONNREFUSED) == call_result::unreachable));
    for (const int error : {0, EADDRNOTAVAIL, EMFILE, ETIMEDOUT, EHOSTUNREACH, ECONNRESET}) {
        BOOST_TEST((worker_exchange::connectionFailure(error) == call_result::unanswered));
    }
}

BOOST_AUTO_TEST_SUITE_END()
