#include "agent/ledger.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

const mono_time Start{1h};
const ticket_id Ticket{.incarnation = 1, .sequence = 2};

task_id task(std::uint32_t index)
{
    return {.ticket = Ticket, .index = index};
}

task_outcome outcome(task_verdict verdict, const std::string &body = {})
{
    return {.verdict = verdict, .why = reason::none, .body = body, .runTime = 5ms};
}

} // namespace

BOOST_AUTO_TEST_SUITE(ledger_test)

// Guards against a start or an outcome that is not recorded.
BOOST_AUTO_TEST_CASE(aStartIsRecordedUntilItsOutcome)
{
    ledger records(15min, 100, 100000);
    BOOST_TEST((records.taskStatus(task(0)).state == agent_task_state::notStarted));
    records.recordStart(task(0));
    BOOST_TEST((records.taskStatus(task(0)).state == agent_task_state::running));
    records.recordOutcome(task(0), outcome(task_verdict::succeeded, "x"), Start);
    BOOST_TEST((records.taskStatus(task(0)).state == agent_task_state::finished));
    BOOST_TEST(records.taskStatus(task(0)).outcome.body == "x");
    records.recordOutcome(task(0), outcome(task_verdict::failed, "y"), Start);
    BOOST_TEST(records.taskStatus(task(0)).outcome.body == "x");
    BOOST_TEST((records.taskStatus(task(1)).state == agent_task_state::notStarted));
}

// Guards against records that are dropped before a late start or a resubmission can refer to them, or are never dropped.
BOOST_AUTO_TEST_CASE(recordsAreDroppedAfterTheRetention)
{
    ledger records(15min, 100, 100000);
    records.recordStart(task(0));
    records.recordStart(task(1));
    records.recordOutcome(task(0), outcome(task_verdict::succeeded, "x"), Start + 1min);
    BOOST_TEST(records.recordTombstone(task(2), Start + 2min));
    BOOST_TEST(records.fence(Ticket, Start + 3min));
    records.expire(Start + 16min - 1ms);
    BOOST_TEST(records.size() == 4U);
    records.expire(Start + 16min);
    BOOST_TEST(records.find(task(0)) == nullptr);
    BOOST_TEST(records.find(task(2)) != nullptr);
    records.expire(Start + 17min);
    BOOST_TEST(records.find(task(2)) == nullptr);
    BOOST_TEST(records.isFenced(Ticket));
    records.expire(records.nextDue());
    BOOST_TEST(!records.isFenced(Ticket));
    BOOST_TEST((records.taskStatus(task(1)).state == agent_task_state::running));
    BOOST_TEST(records.size() == 1U);
    BOOST_TEST((records.nextDue() == mono_time::max()));
}

// Guards against unbounded memory use, and against tombstones that are refused although starts are still accepted.
BOOST_AUTO_TEST_CASE(aFullLedgerStillTakesTombstonesAndFences)
{
    ledger records(15min, 2, 100000);
    records.recordStart(task(0));
    BOOST_TEST(records.hasRoom());
    records.recordStart(task(1));
    BOOST_TEST(!records.hasRoom());
    BOOST_TEST(records.recordTombstone(task(2), Start));
    BOOST_TEST(records.fence(Ticket, Start));
    BOOST_TEST(!records.recordTombstone(task(3), Start));
    BOOST_TEST(records.fence(Ticket, Start));
    BOOST_TEST(!records.fence({.incarnation = 1, .sequence = 3}, Start));
    records.expire(Start + 15min);
    BOOST_TEST(records.recordTombstone(task(3), Start + 15min));
}

// Guards against large results that use up the memory, and against space that is not freed.
BOOST_AUTO_TEST_CASE(theSizeOfKeptResultsIsBounded)
{
    ledger records(15min, 100, 1000);
    records.recordStart(task(0));
    records.recordOutcome(task(0), outcome(task_verdict::succeeded, std::string(1000, 'x')), Start);
    BOOST_TEST(!records.hasRoom());
    records.expire(Start + 15min);
    BOOST_TEST(records.hasRoom());
}

// Guards against a fence that returns only part of the records.
BOOST_AUTO_TEST_CASE(returnsAllTasksOfATicket)
{
    ledger records(15min, 100, 100000);
    for (std::uint32_t i = 0; i < 5; ++i) {
        records.recordStart(task(i));
    }
    records.recordStart({.ticket = {.incarnation = 1, .sequence = 3}, .index = 0});
    records.recordOutcome(task(3), outcome(task_verdict::succeeded, "x"), Start);
    const auto found = records.ticketStatus(Ticket);
    BOOST_REQUIRE(found.size() == 5U);
    for (const agent_task_status &one : found) {
        BOOST_TEST((one.id.ticket == Ticket));
        BOOST_TEST((one.state == (one.id.index == 3 ? agent_task_state::finished : agent_task_state::running)));
    }
}

BOOST_AUTO_TEST_SUITE_END()
