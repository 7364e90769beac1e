#include "job/restartable_entry.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

BOOST_FIXTURE_TEST_SUITE(caller_presence_test, restartable_entry)

// Guards against a start for a client that has left while the entry was paused with nothing outstanding.
BOOST_AUTO_TEST_CASE(startsNothingOnOldEvidence)
{
    joinWorker(1);
    now += 4s;
    const request_id request = submitFromClient("0011", now - 4s);
    BOOST_TEST(count<start_task>() == 0U);
    handle(request_abandoned{.request = request});
    handle(callers_checked{.checkedAt = now, .lastRequest = request.number});
    BOOST_TEST(count<start_task>() == 0U);
}

// Guards against a job that never starts although its client still waits.
BOOST_AUTO_TEST_CASE(startsOnceTheClientIsSeen)
{
    joinWorker(1);
    const request_id request = submitFromClient("0011", now - 4s, 2);
    BOOST_TEST(count<start_task>() == 0U);
    now += 3ms;
    handle(callers_checked{.checkedAt = now, .lastRequest = request.number});
    BOOST_TEST(count<start_task>() == 2U);
}

// Guards against a check that is taken for evidence of a request which came after it.
BOOST_AUTO_TEST_CASE(aCheckDoesNotCoverLaterRequests)
{
    joinWorker(1);
    const request_id request = submitFromClient("0011", now - 4s);
    handle(callers_checked{.checkedAt = now, .lastRequest = request.number - 1});
    BOOST_TEST(count<start_task>() == 0U);
}

// Guards against a check from before a pause of the process that is taken for a new one.
BOOST_AUTO_TEST_CASE(aCheckFromBeforeAPauseIsNoEvidence)
{
    joinWorker(1);
    const request_id request = submitFromClient("0011", now - 4s);
    handle(callers_checked{.checkedAt = now - 2s, .lastRequest = request.number});
    BOOST_TEST(count<start_task>() == 0U);
}

// Guards against a restart of an interrupted task after a pause of an entry whose timers have seen no gap.
BOOST_AUTO_TEST_CASE(anInterruptedTaskStartsAgainOnlyOnNewEvidence)
{
    joinWorker(1);
    const request_id request = submitFromClient("0011", now);
    const auto start = get<start_task>();
    now += 500ms;
    finish(start, outcome(task_verdict::interrupted, "", reason::outcomeUnknown));
    BOOST_TEST(count<start_task>() == 0U);
    handle(callers_checked{.checkedAt = now, .lastRequest = request.number});
    BOOST_TEST(get<start_task>().order.id.attempt == 2U);
}

// Guards against a start that waits in the ring of the RPC thread until its client has left.
BOOST_AUTO_TEST_CASE(aStartExpiresWithItsEvidence)
{
    joinWorker(1);
    const mono_time seenAt = now - 100ms;
    submitFromClient("0011", seenAt);
    BOOST_TEST((get<start_task>().expiresAt == seenAt + settings.sendEvidenceLimit));
}

// Guards against jobs with a ticket that wait for a check which never covers them: their home alone starts them.
BOOST_AUTO_TEST_CASE(aJobWithATicketNeedsNoConnection)
{
    joinWorker(1);
    const ticket source = issue();
    now += 4s;
    submit(jobFor(source));
    BOOST_TEST((get<start_task>().expiresAt == mono_time::max()));
}

// Guards against a thread that wakes every millisecond while it waits for the check.
BOOST_AUTO_TEST_CASE(waitsForTheCheckWithoutTimers)
{
    joinWorker(1);
    submitFromClient("0011", now - 4s);
    advance(200ms);
    BOOST_TEST(wakeups <= 2U);
}

// Guards against evidence that outlives the time in which a client may submit its job to another entry: a start that is sent at
// the last moment ends with the session of a home that pauses then.
BOOST_AUTO_TEST_CASE(theEvidenceEndsBeforeAnotherSubmission)
{
    constexpr auto sessionLease = 650ms; // On the users' platform, with the interval of its check.
    constexpr auto stopTime = 50ms;
    constexpr auto retransmission = 1300ms;
    BOOST_TEST((settings.sendEvidenceLimit + sessionLease + stopTime < retransmission));
    BOOST_TEST((settings.placeEvidenceLimit < settings.sendEvidenceLimit));
}

BOOST_AUTO_TEST_SUITE_END()
