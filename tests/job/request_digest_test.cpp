#include "job/request_digest.h"

#include <boost/test/unit_test.hpp>

using namespace teaselward;

BOOST_AUTO_TEST_SUITE(request_digest_test)

// Guards against different content that is taken for a resubmission, such as payloads that are split differently.
BOOST_AUTO_TEST_CASE(everyPartOfTheContentCounts)
{
    job_request job;
    job.team = "a";
    job.kind = "b";
    job.payloads = {"cd", "e"};
    const request_digest digest = digestOf(job);
    BOOST_TEST((digestOf(job) == digest));

    job_request other = job;
    other.payloads = {"c", "de"};
    BOOST_TEST((digestOf(other) != digest));
    other = job;
    other.payloads = {"e", "cd"};
    BOOST_TEST((digestOf(other) != digest));
    other = job;
    other.payloads.emplace_back();
    BOOST_TEST((digestOf(other) != digest));
    other = job;
    other.team = "ab";
    other.kind = "";
    BOOST_TEST((digestOf(other) != digest));
}

// Guards against a resubmission that is refused because its time limit differs.
BOOST_AUTO_TEST_CASE(theTimeLimitDoesNotCount)
{
    job_request job;
    job.payloads = {"x"};
    const request_digest digest = digestOf(job);
    job.timeLimit = std::chrono::seconds(3);
    BOOST_TEST((digestOf(job) == digest));
}

BOOST_AUTO_TEST_SUITE_END()
