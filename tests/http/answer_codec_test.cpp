#include "http/answer_codec.h"

#include "core/reason_text.h"
#include "http/reason_status.h"
#include "http/utf8.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

using namespace teaselward;
using nlohmann::json;

BOOST_AUTO_TEST_SUITE(answer_codec_test)

// Guards against a reason that was added without an HTTP status, or a refusal that looks like a success.
BOOST_AUTO_TEST_CASE(everyReasonHasAStatus)
{
    BOOST_TEST(reasonStatus(reason::none) == 200);
    for (int value = 1; value <= static_cast<int>(reason::unauthorized); ++value) {
        const auto why = static_cast<reason>(value);
        BOOST_TEST(reasonStatus(why) >= 400, reasonText(why));
        BOOST_TEST(reasonStatus(why) < 600, reasonText(why));
    }
    BOOST_TEST(reasonStatus(reason::ticketReused) == 409);
    BOOST_TEST(reasonStatus(reason::ticketExpired) == 410);
    BOOST_TEST(reasonStatus(reason::unknownJob) == 404);
    BOOST_TEST(reasonStatus(reason::outcomeUnknown) == 502);
    BOOST_TEST(reasonStatus(reason::unauthorized) == 401);
}

// Guards against refusals that lose "not run" or the retry time, or invent them.
BOOST_AUTO_TEST_CASE(encodesRefusalsAndFailures)
{
    job_answer answer;
    answer.why = reason::queueFull;
    answer.notRun = true;
    answer.retryAfter = std::chrono::milliseconds(1200);
    http_response response = encodeAnswer(answer);
    BOOST_TEST(response.status == 429);
    BOOST_TEST((response.retryAfter == std::chrono::milliseconds(1200)));
    BOOST_TEST((json::parse(response.body) == json{{"state", "refused"}, {"reason", "queue_full"}, {"not_run", true}, {"retry_after_ms", 1200}}));

    answer = {};
    answer.state = job_state::failed;
    answer.why = reason::outcomeUnknown;
    response = encodeAnswer(answer);
    BOOST_TEST((json::parse(response.body) == json{{"state", "failed"}, {"reason", "outcome_unknown"}, {"not_run", false}}));
    BOOST_TEST((response.retryAfter == std::chrono::milliseconds(0)));
}

// Guards against a failed job that returns partial results to the caller.
BOOST_AUTO_TEST_CASE(aFailedJobHasNoResults)
{
    job_answer answer;
    answer.state = job_state::failed;
    answer.why = reason::taskFailed;
    answer.results = {"a"};
    BOOST_TEST(!json::parse(encodeAnswer(answer).body).contains("results"));
}

// Guards against a result that is altered because it is not UTF-8.
BOOST_AUTO_TEST_CASE(encodesResultsThatAreNotText)
{
    job_answer answer;
    answer.state = job_state::complete;
    answer.results = {"text", "\xff\xfe\x01"};
    const json body = json::parse(encodeAnswer(answer).body);
    BOOST_TEST(body["results"][0] == "text");
    BOOST_TEST(body["results"][1]["base64"] == "//4B");
}

// Guards against invalid bytes that are accepted as UTF-8 and then make the JSON encoder fail.
BOOST_AUTO_TEST_CASE(recognizesUtf8)
{
    for (const std::string text : {"", "a", "\xc3\xa9", "\xe2\x82\xac", "\xf0\x9f\x98\x80", "\xef\xbf\xbd", "\xf4\x8f\xbf\xbf"}) {
        BOOST_TEST(isUtf8(text));
        BOOST_CHECK_NO_THROW(json(text).dump());
    }
    for (const std::string text :
         {"\x80", "\xc0\x80", "\xc3", "\xe2\x82", "\xe0\x80\x80", "\xed\xa0\x80", "\xf0\x80\x80\x80", "\xf4\x90\x80\x80", "\xf8\x88\x80\x80\x80", "a\xff"}) {
        BOOST_TEST(!isUtf8(text));
        BOOST_CHECK_THROW(json(text).dump(), json::exception);
    }
}

BOOST_AUTO_TEST_SUITE_END()
