#include "member/retry_budget.h"

#include <boost/test/unit_test.hpp>

#include <chrono>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

const mono_time Start = mono_time() + 1h;

} // namespace

BOOST_AUTO_TEST_SUITE(retry_budget_test)

// Guards against a storm of retries when many peers fail at once.
BOOST_AUTO_TEST_CASE(boundsTheRetriesOfAnyInterval)
{
    retry_budget budget(5, 100ms, Start);
    int taken = 0;
    for (auto now = Start; now < Start + 10s; now += 1ms) {
        taken += budget.take(now) ? 1 : 0;
    }
    BOOST_TEST(taken >= 100);
    BOOST_TEST(taken <= 105);
}

// Guards against a bucket that accumulates more than its burst while nothing fails.
BOOST_AUTO_TEST_CASE(savesNoMoreThanTheBurst)
{
    retry_budget budget(3, 100ms, Start);
    const mono_time later = Start + 1h;
    int taken = 0;
    while (budget.take(later)) {
        ++taken;
    }
    BOOST_TEST(taken == 3);
    BOOST_TEST(budget.take(later + 100ms));
}

BOOST_AUTO_TEST_SUITE_END()
