#include "http/caller_codec.h"

#include "core/reason_text.h"

#include <nlohmann/json.hpp>
#include <sodium.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace teaselward
{

namespace
{

using nlohmann::json;

// Indexed by the value of the enumerator.
constexpr std::array<std::string_view, 4> States = {"refused", "running", "complete", "failed"};

// Decodes a result, which is a string, or an object with a base64 string if it is not UTF-8.
std::string decodeResult(const json &value)
{
    if (value.is_string()) {
        return value.get<std::string>();
    }
    const auto text = value.at("base64").get<std::string>();
    std::string bytes(text.size(), '\0');
    std::size_t size = 0;
    sodium_base642bin(
        reinterpret_cast<unsigned char *>(bytes.data()), bytes.size(), text.data(), text.size(), nullptr, &size, nullptr, sodium_base64_VARIANT_ORIGINAL);
    bytes.resize(size);
    return bytes;
}

// Reads the fields. Throws if a field has the wrong type.
job_answer readAnswer(const json &body)
{
    const auto state = std::find(States.begin(), States.end(), body.at("state").get<std::string>());
    if (state == States.end()) {
        throw std::invalid_argument("unknown state");
    }
    job_answer answer;
    answer.state = static_cast<job_state>(std::distance(States.begin(), state));
    answer.why = reasonFromText(body.value("reason", "none")).value_or(reason::outcomeUnknown);
    answer.notRun = body.value("not_run", false);
    answer.retryAfter = std::chrono::milliseconds(body.value("retry_after_ms", 0));
    if (answer.state == job_state::complete) {
        const json &results = body.at("results");
        std::transform(results.begin(), results.end(), std::back_inserter(answer.results), &decodeResult);
    }
    return answer;
}

} // namespace

std::string encodeTicketsRequest(std::uint32_t count)
{
    return json{{"count", count}}.dump();
}

std::string encodeSubmission(const submission_request &request)
{
    json body{{"ticket", request.ticket}, {"team", request.team}, {"kind", request.kind}, {"time_limit_ms", request.timeLimitMs}, {"tasks", request.tasks}};
    if (!request.key.empty()) {
        body["key"] = request.key;
    }
    return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::vector<std::string> decodeTickets(std::string_view text)
{
    try {
        return json::parse(text).at("tickets").get<std::vector<std::string>>();
    } catch (const json::exception &) {
        return {};
    }
}

std::optional<job_answer> decodeAnswer(std::string_view text)
{
    try {
        return readAnswer(json::parse(text));
    } catch (const std::exception &) {
        return std::nullopt;
    }
}

} // namespace teaselward
