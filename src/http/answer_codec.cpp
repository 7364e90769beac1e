#include "http/answer_codec.h"

#include "core/reason_text.h"
#include "http/reason_status.h"
#include "http/utf8.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>

namespace teaselward
{

namespace
{

using json = nlohmann::ordered_json;

constexpr unsigned Accepted = 202;
constexpr unsigned TooManyRequests = 429;
constexpr unsigned ServiceUnavailable = 503;

// Default retry time of a refusal for overload that specifies none.
constexpr std::chrono::milliseconds DefaultRetry = std::chrono::milliseconds(100);

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 4> States = {"refused", "running", "complete", "failed"};

// Encodes a result. JSON strings are UTF-8, so a result of other bytes becomes an object with its base64 text. Replacing
// invalid bytes would return a result that the endpoint never sent.
json encodeResult(const std::string &result)
{
    if (isUtf8(result)) {
        return result;
    }
    std::string text(sodium_base64_encoded_len(result.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
    sodium_bin2base64(text.data(), text.size(), reinterpret_cast<const unsigned char *>(result.data()), result.size(), sodium_base64_VARIANT_ORIGINAL);
    text.pop_back(); // libsodium writes a terminating null character.
    return json{{"base64", std::move(text)}};
}

http_response respond(unsigned status, const json &body, reason why)
{
    http_response response;
    response.status = status;
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    response.why = why;
    return response;
}

// Encodes a refusal or a failure. Only a refusal for overload has a retry time.
http_response encodeReason(std::string_view state, const job_answer &answer, std::string_view detail)
{
    const unsigned status = reasonStatus(answer.why);
    auto retryAfter = answer.retryAfter;
    if (retryAfter.count() <= 0 && (status == TooManyRequests || status == ServiceUnavailable)) {
        retryAfter = DefaultRetry;
    }
    json body{{"state", state}, {"reason", reasonText(answer.why)}, {"not_run", answer.notRun}};
    if (retryAfter.count() > 0) {
        body["retry_after_ms"] = retryAfter.count();
    }
    if (!detail.empty()) {
        body["detail"] = detail;
    }
    http_response response = respond(status, body, answer.why);
    response.retryAfter = retryAfter;
    return response;
}

} // namespace

http_response encodeAnswer(const job_answer &answer)
{
    const std::string_view state = States.at(static_cast<std::size_t>(answer.state));
    if (answer.state == job_state::complete) {
        json results = json::array();
        std::transform(answer.results.begin(), answer.results.end(), std::back_inserter(results), &encodeResult);
        return respond(reasonStatus(reason::none), json{{"state", state}, {"tasks", answer.results.size()}, {"results", std::move(results)}}, reason::none);
    }
    if (answer.state == job_state::running) {
        return respond(Accepted, json{{"state", state}}, reason::none);
    }
    return encodeReason(state, answer, {});
}

http_response encodeRefusal(reason why, bool notRun, std::string_view detail)
{
    job_answer answer;
    answer.why = why;
    answer.notRun = notRun;
    return encodeReason(States.at(static_cast<std::size_t>(job_state::refused)), answer, detail);
}

http_response encodeTickets(const std::vector<std::string> &texts)
{
    return respond(reasonStatus(reason::none), json{{"tickets", texts}}, reason::none);
}

} // namespace teaselward
