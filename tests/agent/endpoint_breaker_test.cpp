#include "agent/endpoint_breaker.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

task_outcome outcome(task_verdict verdict, reason why = reason::none)
{
    return {.verdict = verdict, .why = why, .body = {}, .runTime = 5ms};
}

const task_outcome Done = outcome(task_verdict::succeeded);
const task_outcome Failed = outcome(task_verdict::failed, reason::taskFailed);
const task_outcome Stalled = outcome(task_verdict::interrupted, reason::runStalled);

} // namespace

BOOST_AUTO_TEST_SUITE(endpoint_breaker_test)

// Guards against an endpoint that hangs or fails while its health check succeeds, and that each entry has to detect for itself.
BOOST_AUTO_TEST_CASE(opensAfterFailuresOfSeveralJobs)
{
    for (const task_outcome &bad : {Failed, Stalled}) {
        endpoint_breaker breaker;
        const mono_time now{1h};
        BOOST_TEST(!breaker.record("a", bad, now));
        BOOST_TEST(!breaker.record("b", bad, now));
        BOOST_TEST(breaker.admits(now));
        BOOST_TEST(breaker.record("c", bad, now));
        BOOST_TEST(!breaker.admits(now));
    }
}

// Guards against a job that always fails and takes endpoints out of service.
BOOST_AUTO_TEST_CASE(oneJobDoesNotOpenIt)
{
    endpoint_breaker breaker;
    const mono_time now{1h};
    for (int i = 0; i < 20; ++i) {
        BOOST_TEST(!breaker.record("a", Failed, now));
    }
    BOOST_TEST(breaker.admits(now));
}

// Guards against a breaker that counts runs which were cancelled or lost their lease.
BOOST_AUTO_TEST_CASE(interruptedRunsAreIgnored)
{
    endpoint_breaker breaker;
    const mono_time now{1h};
    for (const char *job : {"a", "b", "c", "d"}) {
        BOOST_TEST(!breaker.record(job, outcome(task_verdict::interrupted, reason::cancelled), now));
    }
    BOOST_TEST(breaker.admits(now));
}

// Guards against many tasks at an endpoint that still hangs, and against one that stays excluded after it has recovered.
BOOST_AUTO_TEST_CASE(admitsSingleTasksUntilOneSucceeds)
{
    endpoint_breaker breaker;
    mono_time now{1h};
    for (const char *job : {"a", "b", "c"}) {
        breaker.record(job, Stalled, now);
    }
    int trials = 0;
    for (int i = 0; i < 500; ++i) {
        now += 10ms;
        if (breaker.admits(now)) {
            breaker.started(now);
            breaker.record("trial", Stalled, now);
            ++trials;
        }
    }
    BOOST_TEST(trials >= 4); // In five seconds.
    BOOST_TEST(trials <= 7);
    breaker.record("trial", Done, now);
    BOOST_TEST(breaker.admits(now));
    BOOST_TEST(!breaker.isOpen());
}

BOOST_AUTO_TEST_SUITE_END()
