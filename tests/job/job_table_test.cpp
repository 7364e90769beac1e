#include "job/job_table.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;
using namespace std::chrono_literals;

namespace
{

const mono_time Start{1h};

std::unique_ptr<job_record> job(std::uint64_t sequence, std::size_t bytes = 0)
{
    auto created = std::make_unique<job_record>();
    created->sequence = sequence;
    created->bytes = bytes;
    return created;
}

job_answer complete(const std::string &result)
{
    job_answer answer;
    answer.state = job_state::complete;
    answer.results = {result};
    return answer;
}

} // namespace

BOOST_AUTO_TEST_SUITE(job_table_test)

// Guards against an answer that is dropped while its ticket could still be submitted again.
BOOST_AUTO_TEST_CASE(anAnswerIsKeptForTheLifetimeAfterIt)
{
    job_table table(10min, 30s, 100, 1000000);
    table.add(job(1));
    table.keys().add("team", "kind", "key", 1);
    table.settle(1, complete("x"), Start + 5min);
    BOOST_TEST(table.findRunning(1) == nullptr);
    table.expire(Start + 15min - 1ms);
    BOOST_REQUIRE(table.findAnswered(1) != nullptr);
    BOOST_TEST(table.findAnswered(1)->answer->unpack().results.at(0) == "x");
    BOOST_TEST((table.nextDue() >= Start + 15min));
    table.expire(table.nextDue());
    BOOST_TEST(table.findAnswered(1) == nullptr);
    BOOST_TEST(table.keptCount() == 0U);
    BOOST_TEST(!table.keys().find("team", "kind", "key").has_value());
}

// Guards against memory use that is unbounded or not released.
BOOST_AUTO_TEST_CASE(numberAndSizeOfJobsAreBounded)
{
    job_table few(10min, 30s, 2, 1000000);
    few.add(job(1));
    BOOST_TEST(few.hasRoom());
    few.add(job(2));
    BOOST_TEST(!few.hasRoom());
    few.settle(1, complete("x"), Start);
    BOOST_TEST(!few.hasRoom());
    few.expire(Start + 10min);
    BOOST_TEST(few.hasRoom());

    job_table small(10min, 30s, 100, 10000);
    small.add(job(1, 20000));
    BOOST_TEST(!small.hasRoom());
    small.settle(1, complete("x"), Start);
    BOOST_TEST(small.hasRoom());
    small.add(job(2));
    small.settle(2, complete(std::string(20000, 'x')), Start);
    BOOST_TEST(!small.hasRoom());
    small.expire(Start + 10min);
    BOOST_TEST(small.hasRoom());
}

// Guards against a joined ticket that starts its own job once the answer of the first ticket has expired.
BOOST_AUTO_TEST_CASE(aJoinedTicketKeepsTheAnswerForItsOwnTime)
{
    job_table table(10min, 30s, 100, 1000000);
    table.add(job(1));
    table.join(2, {7, 7}, 1, Start);
    BOOST_REQUIRE(table.findJoined(2) != nullptr);
    BOOST_TEST(table.findJoined(2)->target == 1U);
    table.settle(1, complete("x"), Start);
    BOOST_TEST(table.findJoined(2) == nullptr);
    BOOST_REQUIRE(table.findAnswered(2) != nullptr);
    table.join(3, {8, 8}, 1, Start + 9min);
    table.expire(Start + 10min);
    BOOST_TEST(table.findAnswered(1) == nullptr);
    BOOST_TEST(table.findAnswered(2) == nullptr);
    BOOST_REQUIRE(table.findAnswered(3) != nullptr);
    BOOST_TEST(table.findAnswered(3)->answer->unpack().results.at(0) == "x");
    table.expire(Start + 19min);
    BOOST_TEST(table.findAnswered(3) == nullptr);
    BOOST_TEST(table.hasRoom());
}

// Guards against new jobs that are refused because old answers fill the memory, and against a job that runs again after its
// answer was evicted.
BOOST_AUTO_TEST_CASE(oldAnswersMakeRoomButStayUsed)
{
    job_table table(10min, 30s, 2, 1000000);
    table.add(job(1));
    table.keys().add("team", "kind", "key", 2);
    table.add(job(2));
    table.settle(2, complete("y"), Start);
    table.settle(1, complete("x"), Start + 1s);
    BOOST_TEST(!table.makeRoom(Start + 31s - 1ms));
    BOOST_TEST(!table.wasEvicted(1));
    BOOST_TEST(table.makeRoom(Start + 31s));
    BOOST_TEST(table.findAnswered(1) == nullptr);
    BOOST_TEST(table.wasEvicted(1));
    BOOST_TEST(table.findAnswered(2) != nullptr);
    BOOST_TEST(!table.wasEvicted(2));
    table.expire(Start + 10min);
    BOOST_TEST(table.wasEvicted(1));
    BOOST_TEST(table.findAnswered(2) == nullptr);
    table.expire(Start + 10min + 31s);
    BOOST_TEST(!table.wasEvicted(1));
}

BOOST_AUTO_TEST_SUITE_END()
