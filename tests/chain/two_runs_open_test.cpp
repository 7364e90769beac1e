#include "chain/chain_simulation.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_AUTO_TEST_SUITE(two_runs_open_test)

// Guards against a second run of a task from a submission that waited while an entry without outstanding starts was frozen.
BOOST_AUTO_TEST_CASE(aSubmissionAtAnIdleFrozenEntryStartsNothing)
{
    chain_simulation few(676, {.perSecond = 2, .lateOrders = 0.05, .lostAnswers = 0.05, .lateLists = 0.05});
    few.run(20s);
    BOOST_TEST(few.overlaps().empty());
    chain_simulation lost(686, {.perSecond = 1, .lateOrders = 0, .lostAnswers = 0.25, .lateLists = 0});
    lost.run(20s);
    BOOST_TEST(lost.overlaps().empty());
}

BOOST_AUTO_TEST_SUITE_END()
