#include "job/packed_answer.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(packed_answer_test)

// Guards against results that are truncated or shifted when an answer is packed.
BOOST_AUTO_TEST_CASE(anAnswerIsTheSameAfterPacking)
{
    job_answer answer;
    answer.state = job_state::complete;
    answer.results = {"one", "", std::string("t\0o", 3), "", std::string(100000, 'x')};
    const job_answer same = packed_answer(answer).unpack();
    BOOST_TEST((same.state == job_state::complete));
    BOOST_TEST(same.results == answer.results);
}

// Guards against a failure that loses its reason or its "not run" flag.
BOOST_AUTO_TEST_CASE(aFailureKeepsItsReason)
{
    job_answer answer;
    answer.state = job_state::failed;
    answer.why = reason::deadlineExceeded;
    answer.notRun = true;
    const job_answer same = packed_answer(answer).unpack();
    BOOST_TEST((same.state == job_state::failed));
    BOOST_TEST((same.why == reason::deadlineExceeded));
    BOOST_TEST(same.notRun);
    BOOST_TEST(same.results.empty());
}

BOOST_AUTO_TEST_SUITE_END()
